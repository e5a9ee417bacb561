import {setTimeout as sleep} from 'node:timers/promises';
import type {Milliseconds} from '@gentianlift/types';
import {isOversized} from './oversized-replies.js';
import type {StoreFailureMode} from './schedule.js';

/** An item of the key-value service; `created` is the revision that created it, a `lease` of 0 means none. */
export type StoredItem = {key: string; value: string; revision: number; created: number; lease: number};

/** A change of an item; each change has its own revision. */
export type StoredEvent = {kind: 'written'; item: StoredItem} | {kind: 'removed'; key: string; revision: number};

/** Writes that are applied atomically if all items still have the expected revisions; 0 stands for a missing item. */
export type Transaction = {
	expect: Array<{key: string; revision: number}>;
	write: Array<{key: string; value: string; lease: number}>;
	remove: string[];
};

/** In-memory contents of a fake key-value service. */
export type StoreContents = {
	getItems: () => StoredItem[];
	getRevision: () => number;
	put: (key: string, value: string, lease?: number) => void;
	remove: (key: string) => void;
	/** Resolves with the changes after the revision, once there are any or the timeout has passed, and with the revision up to which they are all; undefined if some were compacted. */
	watch: (after: number, timeout: Milliseconds) => Promise<{events: StoredEvent[]; revision: number} | undefined>;
	/** Applies the transaction; otherwise returns the current items of the keys whose revision isn't the expected one. */
	commit: (transaction: Transaction) => StoredItem[] | undefined;
	/** Returns the id of a new lease. */
	grantLease: (duration: Milliseconds) => number;
	/** Renews a lease and returns its duration; undefined if it has ended. */
	renewLease: (lease: number) => Milliseconds | undefined;
	/** Ends a lease and removes its items. */
	endLease: (lease: number) => void;
	/** Number of restores from a copy, from 1. */
	getEra: () => number;
	/** Begins a failure mode that concerns the contents, or ends it: `forgetful` discards the history, so that a watch from an earlier revision gets undefined, as do the beginning and the end of the oversized modes; the end of `restored` restores the copy of its beginning. */
	setFailureMode: (mode: StoreFailureMode | undefined) => void;
	close: () => void;
};

type Lease = {expiresAt: Milliseconds; duration: Milliseconds};

/** Copy from which the contents are restored. */
type ContentsCopy = {items: ReadonlyMap<string, StoredItem>; leases: ReadonlyMap<number, Lease>; revision: number; lastLease: number};

/** Interval at which expired leases are ended. */
const leaseCheckInterval: Milliseconds = 100;

const getEventRevision = (event: StoredEvent): number => event.kind === 'written' ? event.item.revision : event.revision;

/** Creates empty contents at revision 1. */
export const createStoreContents = (): StoreContents => {
	const items = new Map<string, StoredItem>();
	const leases = new Map<number, Lease>();
	const watchers = new Set<() => void>();
	let events: StoredEvent[] = [];
	let revision = 1;
	/** Changes up to this revision are no longer in the history. */
	let compactedRevision = 0;
	let lastLease = 0;
	let era = 1;
	let copy: ContentsCopy | undefined;
	let failureMode: StoreFailureMode | undefined;

	const notifyWatchers = (): void => {
		for (const resolve of watchers) {
			resolve();
		}

		watchers.clear();
	};

	/** Discards the history, so that whoever watches has to read all entries. */
	const discardHistory = (): void => {
		compactedRevision = revision;
		events = [];
		notifyWatchers();
	};

	const put = (key: string, value: string, lease = 0): void => {
		revision += 1;
		const item = {
			key, value, revision, created: items.get(key)?.created ?? revision, lease,
		};
		items.set(key, item);
		events.push({kind: 'written', item});
		notifyWatchers();
	};

	const remove = (key: string): void => {
		if (items.delete(key)) {
			revision += 1;
			events.push({kind: 'removed', key, revision});
			notifyWatchers();
		}
	};

	const endLease = (lease: number): void => {
		leases.delete(lease);
		for (const item of items.values()) {
			if (item.lease === lease) {
				remove(item.key);
			}
		}
	};

	const timer = setInterval(() => {
		for (const [lease, {expiresAt}] of leases) {
			if (expiresAt < performance.now()) {
				endLease(lease);
			}
		}
	}, leaseCheckInterval);

	/** Goes back to a copy. Hosts lose what they have written since; operators and upstreams, which use `put`, write it again. */
	const restore = (source: ContentsCopy): void => {
		const written = [...items.values()].filter(({lease}) => lease === 0);
		items.clear();
		leases.clear();
		for (const [key, item] of source.items) {
			items.set(key, item);
		}

		for (const [id, {duration}] of source.leases) {
			leases.set(id, {duration, expiresAt: performance.now() + duration});
		}

		era += 1;
		revision = source.revision;
		lastLease = source.lastLease;
		events = [];
		compactedRevision = revision;
		for (const {key, value} of written.filter(item => items.get(item.key)?.value !== item.value)) {
			put(key, value);
		}

		const writtenKeys = new Set(written.map(({key}) => key));
		for (const {key} of [...items.values()].filter(item => item.lease === 0 && !writtenKeys.has(item.key))) {
			remove(key);
		}

		notifyWatchers();
	};

	return {
		getItems: () => [...items.values()],
		getRevision: () => revision,
		put,
		remove,
		endLease,
		async watch(after, timeout) {
			const getEvents = (): StoredEvent[] => events.filter(event => getEventRevision(event) > after);
			if (after >= compactedRevision && getEvents().length === 0) {
				await Promise.race([sleep(timeout), new Promise<void>(resolve => {
					watchers.add(resolve);
				})]);
			}

			return after < compactedRevision || after > revision ? undefined : {events: getEvents(), revision};
		},
		commit(transaction) {
			const changed = transaction.expect.filter(({key, revision: expected}) => (items.get(key)?.revision ?? 0) !== expected);
			if (changed.length > 0) {
				return changed.flatMap(({key}) => items.get(key) ?? []);
			}

			for (const {key, value, lease} of transaction.write) {
				put(key, value, lease);
			}

			for (const key of transaction.remove) {
				remove(key);
			}

			return undefined;
		},
		grantLease(duration) {
			lastLease += 1;
			leases.set(lastLease, {expiresAt: performance.now() + duration, duration});
			return lastLease;
		},
		renewLease(lease) {
			const existing = leases.get(lease);
			if (existing !== undefined) {
				existing.expiresAt = performance.now() + existing.duration;
			}

			return existing?.duration;
		},
		getEra: () => era,
		setFailureMode(mode) {
			if (isOversized(mode) || isOversized(failureMode)) {
				// A change that nobody can read any more, so that hosts that have read everything are behind, too.
				revision += 1;
				discardHistory();
			} else if (mode === 'forgetful') {
				discardHistory();
			}

			failureMode = mode;

			if (mode === undefined && copy !== undefined) {
				restore(copy);
			}

			copy = mode === 'restored'
				? {
					items: new Map(items), leases: new Map(leases), revision, lastLease,
				}
				: undefined;
		},
		close() {
			clearInterval(timer);
		},
	};
};
