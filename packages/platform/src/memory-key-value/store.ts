import type {Clock} from '@gentianlift/clock';
import type {Entry, WriteOutcome} from '@gentianlift/types';
import {createEntries, type Entries} from './entries.js';
import {createLeases, type Leases} from './leases.js';

/** Compare-and-swap of a value, or a removal if the value is undefined. */
export type WriteRequest = {key: string; value: string | undefined; expected: number; lease?: string};

/** State of the service, without faults. Each read first removes the leases that have expired. */
export type Store = Pick<Entries, 'get' | 'list' | 'listeners' | 'history'> & {
	/** Applies a write if its key has the expected revision and its lease is held. */
	apply: (write: WriteRequest) => WriteOutcome;
	leases: Leases;
};

/** Creates an empty store. */
export const createStore = (clock: Clock): Store => {
	const entries = createEntries(clock);
	const leases = createLeases(entries, clock);

	const get = (key: string): Entry | undefined => {
		leases.removeExpired();
		return entries.get(key);
	};

	return {
		get,
		list(prefix) {
			leases.removeExpired();
			return entries.list(prefix);
		},
		apply({key, value, expected, lease}) {
			const currentRevision = get(key)?.revision ?? 0;
			const isLeaseLost = lease !== undefined && !leases.isHeld(lease);
			return currentRevision !== expected || isLeaseLost
				? {kind: 'rejected', revision: currentRevision}
				: {kind: 'applied', revision: entries.put(key, value, lease)};
		},
		leases,
		listeners: entries.listeners,
		history: entries.history,
	};
};
