import {addEra, getEra, type FleetStore} from '@gentianlift/discovery';
import type {
	Change, ChangesOutcome, Entry, Milliseconds,
} from '@gentianlift/types';

/** A store in memory, which all hosts of a test share; its leases never end by themselves. */
export type TestStore = FleetStore & {
	put: (key: string, value: string) => void;
	/** Comes back from an older copy, in which one of the keys held an older value. */
	restore: (key: string, value: string) => void;
};

const leaseLifetime: Milliseconds = 6000;

/** Creates an empty store. */
export const createTestStore = (): TestStore => {
	const entries = new Map<string, Entry>();
	const watchers = new Set<() => void>();
	let revision = 1;

	const notifyWatchers = (): void => {
		for (const notify of watchers) {
			notify();
		}

		watchers.clear();
	};

	const put = (key: string, value: string): number => {
		revision += 1;
		entries.set(key, {key, value, revision});
		notifyWatchers();
		return revision;
	};

	const getChanges = (after: number): Change[] =>
		[...entries.values()].filter(entry => entry.revision > after).map(entry => ({kind: 'written', entry}));

	return {
		put(key, value) {
			put(key, value);
		},
		restore(key, value) {
			revision = addEra(getEra(revision) + 1, 1);
			for (const entry of entries.values()) {
				entries.set(entry.key, {...entry, revision});
			}

			entries.set(key, {key, value, revision});
			notifyWatchers();
		},
		readAll: async () => ({kind: 'found', snapshot: {entries: [...entries.values()], revision}}),
		async waitForChanges(after, limit): Promise<ChangesOutcome> {
			if (revision <= after) {
				await new Promise<void>(resolve => {
					watchers.add(resolve);
					setTimeout(resolve, limit).unref();
				});
			}

			return getEra(after) === getEra(revision) ? {kind: 'changed', changes: getChanges(after), revision} : {kind: 'compacted'};
		},
		async compareAndSwap({key, value, expected}) {
			const known = entries.get(key)?.revision ?? 0;
			return known === expected ? {kind: 'applied', revision: put(key, value)} : {kind: 'rejected', revision: known};
		},
		grantLease: async () => ({kind: 'held', lease: '1', expiresIn: leaseLifetime}),
		renewLease: async lease => ({kind: 'held', lease, expiresIn: leaseLifetime}),
		endLease: async lease => ({kind: 'held', lease, expiresIn: 0}),
	};
};
