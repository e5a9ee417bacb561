/** Property that has to hold in every reachable state. */
export type Invariant<State> = {
	name: string;
	holds: (state: State) => boolean;
};

/** Specification of a protocol: a pure transition function over states that are plain JSON values. */
export type Specification<State, Event extends {type: string}> = {
	initial: State;
	/** Returns the events that may happen in a state. */
	getEvents: (state: State) => Event[];
	apply: (state: State, event: Event) => State;
	invariants: Array<Invariant<State>>;
	/** Maximum number of states to explore; the exploration of a specification with more throws. */
	maxStates: number;
};

/** Check to run: a specification that has to hold, or one with a fault that an invariant has to catch. */
export type Check = {
	name: string;
	/** Name of the invariant that the fault has to break; undefined for a specification that has to hold. */
	caughtBy?: string;
	explore: () => Exploration;
};

/** Size of the explored state space, and the violations found in it. */
export type Exploration = {
	states: number;
	transitions: number;
	violations: Violation[];
};

/** Broken invariant, with the events that lead from the initial state to the violation. */
export type Violation = {invariant: string; trace: Array<{type: string}>};
