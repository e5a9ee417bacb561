/** An accepted version: its number and the operator whose publication it is. */
export type Accepted = {version: number; token: string};

/** A write under way, which lands now, later, twice or never. */
export type Write = {
	token: string;
	version: number;
	/** Revision that the write expects. */
	expected: number;
	reply: 'none' | 'applied' | 'rejected';
	/** Times that the write may still reach the service. */
	arrivals: number;
};

/** What an operator's command does next. */
export type OperatorPhase = 'start' | 'write' | 'wait' | 'settle' | 'applied' | 'conflict' | 'unavailable' | 'unknown';

/** An operator's command that publishes one configuration. */
export type Operator = {
	token: string;
	phase: OperatorPhase;
	/** Version that the change is made from. */
	base: number;
	/** Revision that was read. */
	revision: number;
	/** Whether a write may have taken effect. */
	isWritten: boolean;
	/** Writes that may still matter. */
	writes: Write[];
	/** Number of writes made. */
	made: number;
};

/** An answer of a peer that is under way. */
export type Answer = {version: number; confirmedAt: number};

/** A host. Moments are counted by the number of versions accepted so far. */
export type Host = {
	/** Version in force; 0 while it is starting. */
	version: number;
	/** Moment at which the version was last known to be the newest; 0 if never. */
	confirmedAt: number;
	/** Highest version that the host was told of. */
	heard: number;
	answer?: Answer;
	/** Set once a rule was broken. */
	fault?: 'went-back' | 'started-below';
};

/** The service, the operators and the hosts. */
export type SpreadState = {
	service: {revision: number; version: number; token: string; isDown: boolean};
	/** Every write that took effect, in order. */
	accepted: Accepted[];
	operators: Operator[];
	hosts: Host[];
	/** Crashes and outages that may still happen. */
	crashes: number;
	outages: number;
	/** Versions of operators outside of the specification that may still be accepted. */
	acceptances: number;
};

/** One step of anything. */
export type SpreadEvent
	= | {type: 'read'; operator: number}
		| {type: 'write'; operator: number}
		| {type: 'land'; operator: number; write: number}
		| {type: 'reply'; operator: number; write: number}
		| {type: 'lose-reply'; operator: number}
		| {type: 'settle'; operator: number}
		| {type: 'give-up'; operator: number}
		| {type: 'crash'; host: number}
		| {type: 'hear'; host: number; version: number}
		| {type: 'read-service'; host: number; version: number; askedAt: number}
		| {type: 'ask-peer'; host: number}
		| {type: 'receive-answer'; host: number}
		| {type: 'receive-stale'; host: number; version: number}
		| {type: 'accept'}
		| {type: 'outage'}
		| {type: 'recovery'};

/** A fault put into the specification to show that it is caught. */
export type SpreadFault = 'trusts-read-back' | 'trusts-rejection' | 'ignores-revision' | 'takes-any-version' | 'confirms-at-receipt' | 'starts-from-any-answer';

/** Bounds of an exploration. */
export type SpreadBounds = {
	operators: number;
	hosts: number;
	crashes: number;
	outages: number;
	/** Versions that are accepted without one of the operators. */
	acceptances: number;
	/** Writes that each operator may make. */
	writes: number;
	/** Times that each write may reach the service. */
	arrivals: number;
	/** Whether confirmations and answers of peers under way are part of the state. */
	hasConfirmations: boolean;
};

/** Creates the state before anything has happened: one version is accepted, and every host has it in force. */
export const createInitial = (bounds: SpreadBounds): SpreadState => ({
	service: {
		revision: 1, version: 1, token: 'first', isDown: false,
	},
	accepted: [{version: 1, token: 'first'}],
	operators: Array.from({length: bounds.operators}, (_, index) => ({
		token: `operator-${index}`, phase: 'start', base: 0, revision: 0, isWritten: false, writes: [], made: 0,
	})),
	hosts: Array.from({length: bounds.hosts}, () => ({
		version: 1, confirmedAt: bounds.hasConfirmations ? 1 : 0, heard: 0,
	})),
	crashes: bounds.crashes,
	outages: bounds.outages,
	acceptances: bounds.acceptances,
});
