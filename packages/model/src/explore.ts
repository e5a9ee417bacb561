import {fromTransition, type ActorSystem, type Snapshot} from 'xstate';
import {getAdjacencyMap} from 'xstate/graph';
import type {Exploration, Specification, Violation} from './specification.js';

type Visit = {from: string; event: {type: string}};
type Node<State> = Snapshot<undefined> & {context: State};
type Visits = Map<string, Visit>;

/** Gets the events on a shortest path from the initial state to a state. */
const getTrace = (visits: Visits, state: string): Array<{type: string}> => {
	const trace: Array<{type: string}> = [];
	for (let visit = visits.get(state); visit !== undefined; visit = visits.get(visit.from)) {
		trace.unshift(visit.event);
	}

	return trace;
};

/** Everything reachable in a specification. */
export type Graph<State> = {
	/** States by their text, in the order of their distance from the initial one. */
	states: Map<string, State>;
	transitions: number;
	/** Gets the events that lead to a state. */
	getTrace: (state: string) => Array<{type: string}>;
};

/** Gets the graph of reachable states, up to the first in which `isEnd` holds if there is one; throws if there are more than the specification's limit. */
export const getGraph = <State, Event extends {type: string}>(specification: Specification<State, Event>, isEnd: (state: State) => boolean = () => false): Graph<State> => {
	const logic = fromTransition<State, Event, ActorSystem<never>, undefined>(specification.apply, specification.initial);
	const visits: Visits = new Map();
	const seen = new Set([JSON.stringify(specification.initial)]);
	let transitions = 0;
	let hasEnded = false;

	/** Follows an event only if it leads to a state not seen before, which keeps the queue of the exploration short. */
	const isNew = ({context}: Node<State>, event: Event): boolean => {
		transitions++;
		const next = specification.apply(context, event);
		const target = JSON.stringify(next);
		if (hasEnded || seen.has(target)) {
			return false;
		}

		seen.add(target);
		visits.set(target, {from: JSON.stringify(context), event});
		hasEnded = isEnd(next);
		return true;
	};

	const map = getAdjacencyMap<Node<State>, Event, undefined>(logic, {
		serializeState: snapshot => JSON.stringify(snapshot.context),
		events: snapshot => specification.getEvents(snapshot.context),
		filterEvents: isNew,
		limit: specification.stateLimit,
	});
	const found = Object.entries(map as unknown as Record<string, {state: Node<State>}>);
	const states = new Map(found.map(([key, {state}]) => [key, state.context]));
	return {states, transitions, getTrace: state => getTrace(visits, state)};
};

/**
Explores every reachable state of a specification and checks its invariants in each; gets the nearest violation of each.
Stops at the first state that breaks the invariant named by `caughtBy`.
*/
export const explore = <State, Event extends {type: string}>(specification: Specification<State, Event>, caughtBy?: string): Exploration => {
	const expected = specification.invariants.find(({name}) => name === caughtBy);
	const graph = getGraph(specification, state => expected !== undefined && !expected.holds(state));
	const violations: Violation[] = [];
	for (const {name, holds} of specification.invariants) {
		const broken = [...graph.states].find(([, state]) => !holds(state));
		if (broken !== undefined) {
			violations.push({invariant: name, trace: graph.getTrace(broken[0])});
		}
	}

	return {states: graph.states.size, transitions: graph.transitions, violations};
};
