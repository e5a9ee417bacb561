import type {Milliseconds} from './ids.js';

/** An entry of the key-value service with its revision, as compare-and-swap requires it; revision 0 means absent. */
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

/** Outcome of a compare-and-swap; after `unknown`, the write may have taken effect, or may do so later or never. */
export type WriteOutcome
	= | {kind: 'applied'; revision: number}
		| {kind: 'rejected'; revision: number}
		| {kind: 'unavailable'; reason: string}
		| {kind: 'unknown'; reason: string};

/** Outcome of listing entries. */
export type ListOutcome
	= | {kind: 'found'; entries: Entry[]}
		| {kind: 'unavailable'; reason: string};

/** Outcome of a watch: one change, or none within the time limit. */
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

/** Write of a value on condition that the key has the expected revision; 0 means absent. */
export type CompareAndSwap = {key: string; value: string; expected: number; lease?: string};

/** Port of the platform's key-value service. Every call resolves within the client's timeout, and none throws. */
export type KeyValueService = {
	read: (key: string) => Promise<ReadOutcome>;
	list: (prefix: string) => Promise<ListOutcome>;
	/** Writes `value` if the key's revision is `expected`, where 0 means absent. If a `lease` is given, the entry is removed when the lease ends. */
	compareAndSwap: (write: CompareAndSwap) => Promise<WriteOutcome>;
	/** Removes the entry if its revision is `expected`. */
	remove: (key: string, expected: number) => Promise<WriteOutcome>;
	/** Resolves when the revision of the key exceeds `after`, or when `limit` has elapsed. */
	watch: (key: string, after: number, limit: Milliseconds) => Promise<WatchOutcome>;
	grantLease: (duration: Milliseconds) => Promise<LeaseOutcome>;
	renewLease: (lease: string) => Promise<LeaseOutcome>;
	endLease: (lease: string) => Promise<LeaseOutcome>;
};

/** A change of an entry. */
export type Change
	= | {kind: 'written'; entry: Entry}
		| {kind: 'removed'; key: string; revision: number};

/** All entries, and the revision after which subsequent changes follow. */
export type Snapshot = {entries: Entry[]; revision: number};

/** Outcome of reading all entries; `oversized` if they are more than are read. */
export type SnapshotOutcome
	= | {kind: 'found'; snapshot: Snapshot}
		| {kind: 'oversized'}
		| {kind: 'unavailable'; reason: string};

/** Outcome of waiting for changes; `compacted` if the service no longer has all changes after the revision, `oversized` if they are more than are read. */
export type ChangesOutcome
	= | {kind: 'changed'; changes: Change[]; revision: number}
		| {kind: 'compacted'}
		| {kind: 'oversized'}
		| {kind: 'unavailable'; reason: string};

/** Returns what is kept of a value while a reply arrives: all of it, a shorter form or, if it is of no use, nothing. */
export type Select<Value> = (value: Value) => Value | undefined;

/** Reading of all entries, page by page, that decides what is kept of them. It can be continued after a failed call. */
export type StateReading = {
	/** Where the next page begins, and the revision at which the first one was read. */
	position: {after: string; revision: number | undefined};
	select: Select<Entry>;
	/** Takes an entry that `select` has returned, once its page has been read whole. */
	add: (entry: Entry) => void;
	/** Returns the entries that are kept. */
	getEntries: () => Entry[];
	/** Whether the entries that are to be kept are more than may be. */
	isOversized: () => boolean;
};

/** Port of a key-value service for following the changes of all entries. No call throws. */
export type ChangeFeed = {
	/** Reads all entries; those that the reading selects, if there is one. */
	readAll: (reading?: StateReading) => Promise<SnapshotOutcome>;
	/** Resolves when there are changes after `revision`, or without changes when `limit` has elapsed; with those that are selected. */
	waitForChanges: (revision: number, limit: Milliseconds, select?: Select<Change>) => Promise<ChangesOutcome>;
};
