/** Accepted version: its number and the token of its publication. */
export type AcceptedVersion = {version: number; token: string};

/** Write in flight, which reaches the service now, later, twice or never. */
export type Write = {
	token: string;
	version: number;
	/** Revision that the write expects. */
	expected: number;
	reply: 'none' | 'applied' | 'rejected';
	/** Number of times that the write may still reach the service. */
	remainingArrivals: number;
};

/** Next step of an operator's command, or its outcome. */
export type OperatorPhase = 'start' | 'write' | 'wait' | 'settle' | 'applied' | 'conflict' | 'unavailable' | 'unknown';

/** Command of an operator that publishes one configuration. */
export type Operator = {
	token: string;
	phase: OperatorPhase;
	/** Version on which the publication is based. */
	base: number;
	/** Revision that the operator read last. */
	revision: number;
	/** Whether an earlier write may have taken effect. */
	hasUncertainWrite: boolean;
	/** Writes that may still take effect or be answered. */
	writes: Write[];
	/** Number of writes that the operator has sent. */
	writesMade: number;
};

/** Answer of a peer in flight. */
export type PeerAnswer = {version: number; confirmedAt: number};

/** State of a host. A time is given as the number of versions accepted up to it. */
export type Host = {
	/** Version in force; 0 while it is starting. */
	version: number;
	/** Time at which the version was last known to be the newest; 0 if never. */
	confirmedAt: number;
	/** Highest version that was announced to the host while it is starting. */
	announcedVersion: number;
	pendingAnswer?: PeerAnswer;
	/** Set once the host has broken a rule. */
	violation?: 'went-back' | 'started-below';
};

/** State of the key-value service, the operators and the hosts. */
export type DistributionState = {
	service: {revision: number; version: number; token: string; isDown: boolean};
	/** Versions of all writes that took effect, in order. */
	accepted: AcceptedVersion[];
	operators: Operator[];
	hosts: Host[];
	/** Numbers of crashes and outages that may still happen. */
	remainingCrashes: number;
	remainingOutages: number;
	/** Number of versions from other operators, which aren't modelled, that may still be accepted. */
	remainingAcceptances: number;
};

/**
Events of operators, hosts and the key-value service. `land` is a write that reaches the service, `settle` the decision of an
operator after reading again, `hear` an announcement of a version to a starting host, and `receive-stale` the receipt of a
version, possibly an old one, without confirmation.
*/
export type DistributionEvent
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

/** Fault put into the specification, to show that the invariants catch it. */
export type DistributionFault = 'trusts-read-back' | 'trusts-rejection' | 'ignores-revision' | 'takes-any-version' | 'confirms-at-receipt' | 'starts-from-any-answer';

/** Bounds that keep the exploration finite. */
export type DistributionBounds = {
	operatorCount: number;
	hostCount: number;
	maxCrashes: number;
	maxOutages: number;
	/** Number of versions that are accepted from other operators, which aren't modelled. */
	maxAcceptances: number;
	/** Number of writes that each operator may send. */
	maxWrites: number;
	/** Number of times that each write may reach the service. */
	maxArrivals: number;
	/** Whether confirmations and answers of peers in flight are part of the state. */
	hasConfirmations: boolean;
};

/** Creates the initial state: one version is accepted, and every host has it in force. */
export const createInitialState = (bounds: DistributionBounds): DistributionState => ({
	service: {
		revision: 1, version: 1, token: 'first', isDown: false,
	},
	accepted: [{version: 1, token: 'first'}],
	operators: Array.from({length: bounds.operatorCount}, (_, index) => ({
		token: `operator-${index}`, phase: 'start', base: 0, revision: 0, hasUncertainWrite: false, writes: [], writesMade: 0,
	})),
	hosts: Array.from({length: bounds.hostCount}, () => ({
		version: 1, confirmedAt: bounds.hasConfirmations ? 1 : 0, announcedVersion: 0,
	})),
	remainingCrashes: bounds.maxCrashes,
	remainingOutages: bounds.maxOutages,
	remainingAcceptances: bounds.maxAcceptances,
});
