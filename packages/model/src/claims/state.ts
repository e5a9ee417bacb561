/** Final outcome of an attempt, as stored in the slot. */
export type SettledOutcome = 'finished' | 'not-run' | 'unknown';

/** Claim of the only key in the specification. */
export type ClaimRecord = {
	attempt: number;
	outcome: 'claimed' | SettledOutcome;
	/** Other attempts that were given up, in ascending order. */
	givenUp: number[];
};

/** Value of the slot in the key-value service; revision 0 without a claim means that it is absent. */
export type SlotRecord = {revision: number; claim?: ClaimRecord | undefined};

/** Operation requested from a slot writer. */
export type Operation
	= | {kind: 'claim'; attempt: number}
		| {kind: 'settle'; attempt: number; outcome: SettledOutcome};

/** Compare-and-swap of the slot that was sent to the key-value service, with its result there. */
export type SlotWrite = {
	id: number;
	expected: number;
	claim: ClaimRecord;
	result: 'pending' | 'applied' | 'rejected';
	/** Whether the writer still awaits the reply. */
	isAwaited: boolean;
};

/**
Slot writer of a host. The copy of the slot that the code caches between batches isn't modelled: a write based on a stale copy
is rejected, and no answer is given from one, so a cached copy has the same effect as a read.
*/
export type Writer = {
	batch: Operation[];
	queue: Operation[];
	/** Id of the write in flight. */
	writeId?: number | undefined;
};

/** Phase of an attempt at its host; `alone` means that the host claims the key without the slot's owner. */
export type Phase = 'new' | 'asking' | 'alone' | 'given-up' | 'dispatched' | 'ended';

/** Result that the caller of an attempt received. */
export type ReportedResult = 'not-run' | 'ran' | 'unknown' | 'in-progress' | 'done';

/** One request with the key. */
export type Attempt = {
	host: number;
	/** Incarnation of the host that makes the attempt: 1, or 2 after its crash. */
	incarnation: number;
	phase: Phase;
	/** True from dispatch on, unless the upstream reports that it refused the request. */
	hasRun: boolean;
	reportedResult?: ReportedResult;
};

/** Message that may be delivered more than once, late, out of order or never. */
export type Message = {to: number; operation: Operation; remainingDeliveries: number};

/** Decision in flight to the host of an attempt. */
export type Reply = {attempt: number; decision: 'start' | 'in-progress' | 'done' | 'unknown'};

/** State of the key-value service, the slot writers, the messages and the attempts. */
export type State = {
	slot: SlotRecord;
	writers: Writer[];
	writes: SlotWrite[];
	messages: Message[];
	replies: Reply[];
	attempts: Attempt[];
	/** Number of times that each message may be delivered. */
	maxDeliveries: number;
	/** Number of crashes of each host. */
	crashes: number[];
	writesSent: number;
	/** True once a settled outcome in the key-value service has changed. */
	hasChangedOutcome: boolean;
};

/** Bounds that keep the exploration finite, and the attempts to explore. */
export type Bounds = {maxWrites: number; maxCrashes: number; maxDeliveries: number; attempts: Array<{host: number; incarnation: number}>};

/** Fault put into the specification, to show that the invariants catch it. */
export type Fault = 'none' | 'start-on-unknown' | 'answer-without-write' | 'write-without-compare' | 'settle-for-gone' | 'forget-given-up' | 'start-after-giving-up' | 'settle-twice';

/** Adds an item to a set that is kept as a sorted list, so that equal sets have the same JSON. */
export const addToSet = <Item>(items: readonly Item[], item: Item): Item[] => {
	const text = JSON.stringify(item);
	return items.some(other => JSON.stringify(other) === text)
		? [...items]
		: [...items, item].toSorted((left, right) => JSON.stringify(left) < JSON.stringify(right) ? -1 : 1);
};

/** Returns a copy of a list in which one item is updated. */
export const updateAt = <Item>(items: readonly Item[], index: number, change: Partial<Item>): Item[] =>
	items.map((item, position) => position === index ? {...item, ...change} : item);

/** Creates the initial state. */
export const createInitialState = (bounds: Bounds): State => ({
	slot: {revision: 0},
	writers: [{batch: [], queue: []}, {batch: [], queue: []}],
	writes: [],
	messages: [],
	replies: [],
	attempts: bounds.attempts.map(({host, incarnation}) => ({
		host, incarnation, phase: 'new', hasRun: false,
	})),
	maxDeliveries: bounds.maxDeliveries,
	crashes: [0, 0],
	writesSent: 0,
	hasChangedOutcome: false,
});

/** Whether the incarnation of the host that made an attempt has ended. */
export const isIncarnationEnded = (state: State, attempt: Attempt): boolean => (state.crashes[attempt.host] ?? 0) >= attempt.incarnation;

/** Whether two operations are the same. The outcome isn't compared, since an attempt settles with one outcome only. */
export const isSameOperation = (left: Operation, right: Operation): boolean =>
	left.kind === right.kind && left.attempt === right.attempt;
