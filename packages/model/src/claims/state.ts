/** Settled end of an attempt as the slot keeps it. */
export type Settled = 'finished' | 'not-run' | 'unknown';

/** Claim of the one key. */
export type ClaimRecord = {
	attempt: number;
	outcome: 'claimed' | Settled;
	/** Other attempts that were given up, in order of number. */
	givenUp: number[];
};

/** Value of the slot in the service; revision 0 without a claim means absent. */
export type SlotRecord = {revision: number; claim?: ClaimRecord | undefined};

/** What is asked of a slot writer. */
export type Operation
	= | {kind: 'claim'; attempt: number}
		| {kind: 'settle'; attempt: number; outcome: Settled};

/** A write on its way to the service, or that reached it. */
export type PendingWrite = {
	id: number;
	expected: number;
	claim: ClaimRecord;
	landed: 'pending' | 'applied' | 'rejected';
	/** Whether the writer still waits for the reply. */
	isAwaited: boolean;
};

/**
The slot writer of a host. What it remembers of the slot between batches is left out: a write from an old state is rejected,
and an answer isn't given from one, so that remembering does what reading does.
*/
export type Writer = {
	batch: Operation[];
	queue: Operation[];
	/** Write under way. */
	writing?: number | undefined;
};

/** Where an attempt stands at its host. */
export type Phase = 'new' | 'asking' | 'alone' | 'given-up' | 'dispatched' | 'ended';

/** What the caller of an attempt was told. */
export type Told = 'not-run' | 'ran' | 'unknown' | 'in-progress' | 'done';

/** One request under the key. */
export type Attempt = {
	host: number;
	/** Run of the host that makes the attempt: 1, or 2 after its crash. */
	run: number;
	phase: Phase;
	/** True from dispatch on, unless the upstream says that it refused. */
	ran: boolean;
	told?: Told;
};

/** A message that may arrive twice, late, out of order or never. */
export type Message = {to: number; operation: Operation; deliveries: number};

/** A decision on its way to an attempt's host. */
export type Reply = {attempt: number; decision: 'start' | 'in-progress' | 'done' | 'unknown'};

/** State of the whole system. */
export type State = {
	slot: SlotRecord;
	writers: Writer[];
	writes: PendingWrite[];
	messages: Message[];
	replies: Reply[];
	attempts: Attempt[];
	/** Times that each message may arrive. */
	deliveries: number;
	/** Number of runs of each host that have ended. */
	crashes: number[];
	writesSent: number;
	/** True once a settled outcome in the service has changed. */
	hasChangedOutcome: boolean;
};

/** Bounds of the exploration. */
export type Bounds = {writes: number; crashes: number; deliveries: number; attempts: Array<{host: number; run: number}>};

/** A fault of the specification, to show that the check can fail. */
export type Fault = 'none' | 'start-on-unknown' | 'answer-without-write' | 'write-without-compare' | 'settle-for-gone' | 'forget-given-up' | 'start-after-giving-up' | 'settle-twice';

/** Adds an item to a set that is kept as a sorted list, so that equal sets have equal texts. */
export const addTo = <Item>(items: readonly Item[], item: Item): Item[] => {
	const text = JSON.stringify(item);
	return items.some(other => JSON.stringify(other) === text)
		? [...items]
		: [...items, item].toSorted((left, right) => JSON.stringify(left) < JSON.stringify(right) ? -1 : 1);
};

/** Gets a copy of a list with one item changed. */
export const setAt = <Item>(items: readonly Item[], index: number, change: Partial<Item>): Item[] =>
	items.map((item, position) => position === index ? {...item, ...change} : item);

/** Creates the state before anything has happened. */
export const createState = (bounds: Bounds): State => ({
	slot: {revision: 0},
	writers: [{batch: [], queue: []}, {batch: [], queue: []}],
	writes: [],
	messages: [],
	replies: [],
	attempts: bounds.attempts.map(({host, run}) => ({
		host, run, phase: 'new', ran: false,
	})),
	deliveries: bounds.deliveries,
	crashes: [0, 0],
	writesSent: 0,
	hasChangedOutcome: false,
});

/** Whether the run of the host that made an attempt has ended. */
export const isGone = (state: State, attempt: Attempt): boolean => (state.crashes[attempt.host] ?? 0) >= attempt.run;

/** Whether two operations are the same. An attempt settles in one way only. */
export const isSameOperation = (left: Operation, right: Operation): boolean =>
	left.kind === right.kind && left.attempt === right.attempt;
