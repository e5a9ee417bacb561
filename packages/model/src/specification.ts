/** A promise that must hold in every reachable state. */
export type Invariant<State> = {
	name: string;
	holds: (state: State) => boolean;
};

/** A small specification of a protocol: a pure transition function over plain states, which JSON can hold. */
export type Specification<State, Event extends {type: string}> = {
	initial: State;
	/** The events that may happen in a state. */
	getEvents: (state: State) => Event[];
	apply: (state: State, event: Event) => State;
	invariants: Array<Invariant<State>>;
	/** Most states to explore; a specification that has more fails its check. */
	stateLimit: number;
};

/** A check to run: a specification that has to hold, or one with a fault in it that has to be caught. */
export type Check = {
	name: string;
	/** Invariant that the fault has to break; undefined for a specification that has to hold. */
	caughtBy?: string;
	explore: () => Exploration;
};

/** What an exploration found. */
export type Exploration = {
	states: number;
	transitions: number;
	violations: Violation[];
};

/** A broken invariant, with the events that lead to it. */
export type Violation = {invariant: string; trace: Array<{type: string}>};
