import type {
	CustomerId, HostId, Milliseconds, Zone,
} from '@gentianlift/types';

/** Requests of each customer that began to run in a window. */
export type UsageReport = {
	/** Number of the window: its start in milliseconds since the epoch, divided by the length of a window. */
	window: number;
	counts: Readonly<Record<CustomerId, number>>;
};

/** Kinds of upstreams that can be ordered; reclaimable ones cost less and may be taken away at short notice. */
export type CapacityKind = 'regular' | 'reclaimable';

/** Order of a number of upstreams of one kind; it replaces the earlier one. */
export type CapacityOrder = {
	service: string;
	zone: Zone;
	kind: CapacityKind;
	count: number;
};

/** Names the holder of a duty to the operators' service; the token rises with each new holder. */
export type FencedHolder = {holder: HostId; token: number};

/** A call's holder, and the signal at which the call ends at once, so that nothing more of it is sent. */
export type FencedCall = FencedHolder & {signal: AbortSignal};

/** Outcome of a call for a duty: `not-held` if this host mustn't make it, `exhausted` if there are no such upstreams at the moment, `unknown` if the service may have accepted it. */
export type DutyOutcome
	= | {kind: 'accepted'}
		| {kind: 'not-held'}
		| {kind: 'exhausted'}
		| {kind: 'rejected'; reason: string}
		| {kind: 'unavailable'; reason: string}
		| {kind: 'unknown'; reason: string};

/** The operators' service. No call throws, and each ends within `timeout`, after which nothing more of it is sent. */
export type OperatorsService = {
	/** Longest time of a call. */
	timeout: Milliseconds;
	reportUsage: (report: UsageReport, call: FencedCall) => Promise<DutyOutcome>;
	orderCapacity: (order: CapacityOrder, call: FencedCall) => Promise<DutyOutcome>;
};
