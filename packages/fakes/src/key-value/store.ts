import type {Entry, Milliseconds} from '@gentianlift/types';
import type {Clock} from '@gentianlift/clock';

/** Pending watch on changes of a key past a revision. */
type Watch = {key: string; after: number; notify: (entry: Entry | undefined) => void};

/** Lease with the keys that are removed when it ends. */
type Lease = {id: string; duration: Milliseconds; expiresAt: Milliseconds; keys: Set<string>};

/** Result of a write: the new revision if it was applied, otherwise the entry's current one; 0 if there is no entry. */
export type StoreWriteResult = {applied: boolean; revision: number};

/** In-memory store of versioned entries with compare-and-swap, leases and watches. */
export type Store = {
	read: (key: string) => Entry | undefined;
	list: (prefix: string) => Entry[];
	write: (key: string, change: {value: string; expected: number; lease?: string}) => StoreWriteResult;
	remove: (key: string, expected: number) => StoreWriteResult;
	/** Calls `notify` once, on the first change past the revision `after`; returns a function that cancels the watch. */
	watch: (watch: Watch) => () => void;
	grantLease: (duration: Milliseconds) => Lease;
	renewLease: (id: string) => Lease | undefined;
	/** Ends a lease and removes its entries; returns whether it was held. */
	endLease: (id: string) => boolean;
	countWatches: () => number;
};

/** Creates an empty store. */
export const createStore = (clock: Clock): Store => {
	const entries = new Map<string, Entry>();
	const watches = new Set<Watch>();
	const leases = new Map<string, Lease>();
	let revision = 0;
	let leaseCount = 0;

	const notifyWatches = (entry: Entry): void => {
		for (const watch of watches) {
			if (watch.key === entry.key && entry.revision > watch.after) {
				watches.delete(watch);
				watch.notify(entry);
			}
		}
	};

	const deleteEntry = (key: string): void => {
		revision++;
		entries.delete(key);
		notifyWatches({key, value: '', revision});
	};

	const endLease = (id: string): boolean => {
		const lease = leases.get(id);
		leases.delete(id);
		for (const key of lease?.keys ?? []) {
			if (entries.has(key)) {
				deleteEntry(key);
			}
		}

		return lease !== undefined;
	};

	const expireLeases = (): void => {
		for (const lease of leases.values()) {
			if (lease.expiresAt <= clock.monotonic()) {
				endLease(lease.id);
			}
		}
	};

	/** Releases a key from its lease: an entry belongs to the lease of its last write only. */
	const detachFromLeases = (key: string): void => {
		for (const lease of leases.values()) {
			lease.keys.delete(key);
		}
	};

	const scheduleExpiry = (lease: Lease): void => {
		clock.after(lease.duration + 1, expireLeases);
	};

	return {
		read(key) {
			expireLeases();
			return entries.get(key);
		},
		list(prefix) {
			expireLeases();
			return [...entries.values()].filter(entry => entry.key.startsWith(prefix));
		},
		write(key, {value, expected, lease}) {
			expireLeases();
			const current = entries.get(key)?.revision ?? 0;
			if (current !== expected || (lease !== undefined && !leases.has(lease))) {
				return {applied: false, revision: current};
			}

			revision++;
			const entry = {key, value, revision};
			entries.set(key, entry);
			detachFromLeases(key);
			if (lease !== undefined) {
				leases.get(lease)?.keys.add(key);
			}

			notifyWatches(entry);
			return {applied: true, revision};
		},
		remove(key, expected) {
			expireLeases();
			const current = entries.get(key)?.revision ?? 0;
			if (current !== expected || current === 0) {
				return {applied: false, revision: current};
			}

			detachFromLeases(key);
			deleteEntry(key);
			return {applied: true, revision};
		},
		watch(watch) {
			const current = entries.get(watch.key);
			if (current !== undefined && current.revision > watch.after) {
				watch.notify(current);
				return () => undefined;
			}

			watches.add(watch);
			return () => {
				watches.delete(watch);
			};
		},
		grantLease(duration) {
			leaseCount++;
			const lease: Lease = {
				id: `lease-${leaseCount}`, duration, expiresAt: clock.monotonic() + duration, keys: new Set(),
			};
			leases.set(lease.id, lease);
			scheduleExpiry(lease);
			return lease;
		},
		renewLease(id) {
			expireLeases();
			const lease = leases.get(id);
			if (lease !== undefined) {
				lease.expiresAt = clock.monotonic() + lease.duration;
				scheduleExpiry(lease);
			}

			return lease;
		},
		endLease,
		countWatches: () => watches.size,
	};
};
