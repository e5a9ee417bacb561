import {fromTransition, type ActorSystem, type Snapshot} from 'xstate';
import {getAdjacencyMap} from 'xstate/graph';
import type {Exploration, Specification, Violation} from './specification.js';

type Step = {from: string; event: {type: string}};
type GraphNode<State> = Snapshot<undefined> & {context: State};
type StepsByState = Map<string, Step>;

/** Returns the events on a shortest path from the initial state to a state. */
const getTrace = (steps: StepsByState, state: string): Array<{type: string}> => {
	const trace: Array<{type: string}> = [];
	for (let step = steps.get(state); step !== undefined; step = steps.get(step.from)) {
		trace.unshift(step.event);
	}

	return trace;
};

/** Reachable states and transitions of a specification. */
export type StateGraph<State> = {
	/** States by their JSON, in the order of their distance from the initial state. */
	states: Map<string, State>;
	transitions: number;
	/** Returns the events on a shortest path from the initial state to the state with the given JSON. */
	getTrace: (state: string) => Array<{type: string}>;
};

/** Explores the reachable states breadth-first, and stops at the first in which `isEnd` holds. Throws if there are more than `maxStates` of the specification. */
export const exploreGraph = <State, Event extends {type: string}>(specification: Specification<State, Event>, isEnd: (state: State) => boolean = () => false): StateGraph<State> => {
	const logic = fromTransition<State, Event, ActorSystem<never>, undefined>(specification.apply, specification.initial);
	const steps: StepsByState = new Map();
	const seen = new Set([JSON.stringify(specification.initial)]);
	let transitions = 0;
	let hasEnded = false;

	/** Whether an event leads to a state not seen before; following only these keeps the queue of the exploration short. */
	const isNew = ({context}: GraphNode<State>, event: Event): boolean => {
		transitions++;
		const next = specification.apply(context, event);
		const target = JSON.stringify(next);
		if (hasEnded || seen.has(target)) {
			return false;
		}

		seen.add(target);
		steps.set(target, {from: JSON.stringify(context), event});
		hasEnded = isEnd(next);
		return true;
	};

	const adjacencyMap = getAdjacencyMap<GraphNode<State>, Event, undefined>(logic, {
		serializeState: snapshot => JSON.stringify(snapshot.context),
		events: snapshot => specification.getEvents(snapshot.context),
		filterEvents: isNew,
		limit: specification.maxStates,
	});
	const nodes = Object.entries(adjacencyMap as unknown as Record<string, {state: GraphNode<State>}>);
	const states = new Map(nodes.map(([key, {state}]) => [key, state.context]));
	return {states, transitions, getTrace: state => getTrace(steps, state)};
};

/**
Explores every reachable state of a specification and checks its invariants in each. Returns the violation with the shortest
trace for each broken invariant. Stops at the first state that breaks the invariant named `caughtBy`.
*/
export const explore = <State, Event extends {type: string}>(specification: Specification<State, Event>, caughtBy?: string): Exploration => {
	const expected = specification.invariants.find(({name}) => name === caughtBy);
	const graph = exploreGraph(specification, state => expected !== undefined && !expected.holds(state));
	const violations: Violation[] = [];
	for (const {name, holds} of specification.invariants) {
		const violatingState = [...graph.states].find(([, state]) => !holds(state));
		if (violatingState !== undefined) {
			violations.push({invariant: name, trace: graph.getTrace(violatingState[0])});
		}
	}

	return {states: graph.states.size, transitions: graph.transitions, violations};
};
