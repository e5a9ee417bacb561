import type {Milliseconds} from './ids.js';

/** A value of the key-value service with the revision that compare-and-swap names; revision 0 means absent. */
export type Entry = {
	key: string;
	value: string;
	revision: number;
};

/** Outcome of a read. */
export type ReadOutcome
	= | {kind: 'found'; entry: Entry}
		| {kind: 'absent'}
		| {kind: 'unavailable'; reason: string};

/** Outcome of a compare-and-swap; `unknown` may take effect now, later or never. */
export type WriteOutcome
	= | {kind: 'applied'; revision: number}
		| {kind: 'rejected'; revision: number}
		| {kind: 'unavailable'; reason: string}
		| {kind: 'unknown'; reason: string};

/** Outcome of a list. */
export type ListOutcome
	= | {kind: 'found'; entries: Entry[]}
		| {kind: 'unavailable'; reason: string};

/** Outcome of a watch: one change, or silence up to the limit. */
export type WatchOutcome
	= | {kind: 'changed'; entry: Entry}
		| {kind: 'unchanged'}
		| {kind: 'unavailable'; reason: string};

/** Outcome of acquiring or renewing a lease. */
export type LeaseOutcome
	= | {kind: 'held'; lease: string; expiresIn: Milliseconds}
		| {kind: 'lost'}
		| {kind: 'unavailable'; reason: string}
		| {kind: 'unknown'; reason: string};

/** The port to the platform's key-value service. Every call ends within the client's time limit and none throws. */
export type KeyValueService = {
	read: (key: string) => Promise<ReadOutcome>;
	list: (prefix: string) => Promise<ListOutcome>;
	/** Writes `value` if the key's revision is `expected` (0: absent). A `lease` removes the entry when it ends. */
	compareAndSwap: (write: {key: string; value: string; expected: number; lease?: string}) => Promise<WriteOutcome>;
	/** Removes the entry if its revision is `expected`. */
	remove: (key: string, expected: number) => Promise<WriteOutcome>;
	/** Resolves when the revision of the key passes `after`, or after `limit`. */
	watch: (key: string, after: number, limit: Milliseconds) => Promise<WatchOutcome>;
	grantLease: (duration: Milliseconds) => Promise<LeaseOutcome>;
	renewLease: (lease: string) => Promise<LeaseOutcome>;
	endLease: (lease: string) => Promise<LeaseOutcome>;
};

/** A change of an entry. */
export type Change
	= | {kind: 'written'; entry: Entry}
		| {kind: 'removed'; key: string; revision: number};

/** All entries, and the revision after which changes are still to be read. */
export type Snapshot = {entries: Entry[]; revision: number};

/** Outcome of reading all entries. */
export type SnapshotOutcome
	= | {kind: 'found'; snapshot: Snapshot}
		| {kind: 'unavailable'; reason: string};

/** Outcome of waiting for changes; `compacted` if the changes after the revision are no longer known. */
export type ChangesOutcome
	= | {kind: 'changed'; changes: Change[]; revision: number}
		| {kind: 'compacted'}
		| {kind: 'unavailable'; reason: string};

/** The port to a key-value service whose entries are all followed. No call throws. */
export type ChangeFeed = {
	readAll: () => Promise<SnapshotOutcome>;
	/** Resolves when there are changes after `revision`, or after `limit` with none. */
	waitForChanges: (revision: number, limit: Milliseconds) => Promise<ChangesOutcome>;
};
