import type {Entry, Milliseconds} from '@gentianlift/types';
import type {Clock} from '@gentianlift/clock';

type Watch = {key: string; after: number; tell: (entry: Entry | undefined) => void};

type Lease = {id: string; duration: Milliseconds; expiresAt: Milliseconds; keys: Set<string>};

/** Result of a write: the new revision, or that of the entry which stands. */
export type StoreWrite = {applied: boolean; revision: number};

/** Entries with revisions, leases and watches, in memory. */
export type Store = {
	read: (key: string) => Entry | undefined;
	list: (prefix: string) => Entry[];
	write: (key: string, change: {value: string; expected: number; lease?: string}) => StoreWrite;
	remove: (key: string, expected: number) => StoreWrite;
	/** Calls `tell` on the first change past `after`; returns the way to stop. */
	watch: (watch: Watch) => () => void;
	grantLease: (duration: Milliseconds) => Lease;
	renewLease: (id: string) => Lease | undefined;
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

	const tellWatches = (entry: Entry): void => {
		for (const watch of watches) {
			if (watch.key === entry.key && entry.revision > watch.after) {
				watches.delete(watch);
				watch.tell(entry);
			}
		}
	};

	const drop = (key: string): void => {
		revision++;
		entries.delete(key);
		tellWatches({key, value: '', revision});
	};

	const endLease = (id: string): boolean => {
		const lease = leases.get(id);
		leases.delete(id);
		for (const key of lease?.keys ?? []) {
			if (entries.has(key)) {
				drop(key);
			}
		}

		return lease !== undefined;
	};

	const expire = (): void => {
		for (const lease of leases.values()) {
			if (lease.expiresAt <= clock.monotonic()) {
				endLease(lease.id);
			}
		}
	};

	const detach = (key: string): void => {
		for (const lease of leases.values()) {
			lease.keys.delete(key);
		}
	};

	const scheduleExpiry = (lease: Lease): void => {
		clock.after(lease.duration + 1, expire);
	};

	return {
		read(key) {
			expire();
			return entries.get(key);
		},
		list(prefix) {
			expire();
			return [...entries.values()].filter(entry => entry.key.startsWith(prefix));
		},
		write(key, {value, expected, lease}) {
			expire();
			const current = entries.get(key)?.revision ?? 0;
			if (current !== expected || (lease !== undefined && !leases.has(lease))) {
				return {applied: false, revision: current};
			}

			revision++;
			const entry = {key, value, revision};
			entries.set(key, entry);
			detach(key);
			if (lease !== undefined) {
				leases.get(lease)?.keys.add(key);
			}

			tellWatches(entry);
			return {applied: true, revision};
		},
		remove(key, expected) {
			expire();
			const current = entries.get(key)?.revision ?? 0;
			if (current !== expected || current === 0) {
				return {applied: false, revision: current};
			}

			detach(key);
			drop(key);
			return {applied: true, revision};
		},
		watch(watch) {
			const current = entries.get(watch.key);
			if (current !== undefined && current.revision > watch.after) {
				watch.tell(current);
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
			expire();
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
