import type {Clock} from '@gentianlift/clock';
import type {Entry, Milliseconds} from '@gentianlift/types';

/** Record of an applied write; the value of a removal is undefined. */
export type AppliedWrite = {key: string; value: string | undefined; revision: number; at: Milliseconds};

/** Entries of the service with their leases, listeners for changes and the history of applied writes. */
export type Entries = {
	get: (key: string) => Entry | undefined;
	list: (prefix: string) => Entry[];
	/** Stores a value, or removes the entry if the value is undefined. Returns the new revision. */
	put: (key: string, value: string | undefined, lease?: string) => number;
	/** Removes all entries of a lease. */
	removeLeased: (lease: string) => void;
	/** Functions that are called after each change. */
	listeners: Set<() => void>;
	/** All applied writes, oldest first. */
	history: readonly AppliedWrite[];
};

/** Entry with the lease that it expires with. */
type StoredEntry = {entry: Entry; lease?: string};

/** Creates an empty set of entries at revision 0. */
export const createEntries = (clock: Clock): Entries => {
	const stored = new Map<string, StoredEntry>();
	const history: AppliedWrite[] = [];
	const listeners = new Set<() => void>();

	const put = (key: string, value: string | undefined, lease?: string): number => {
		const revision = history.length + 1;
		if (value === undefined) {
			stored.delete(key);
		} else {
			stored.set(key, {entry: {key, value, revision}, ...(lease !== undefined && {lease})});
		}

		history.push({
			key, value, revision, at: clock.now(),
		});
		for (const notify of listeners) {
			notify();
		}

		return revision;
	};

	return {
		get: key => stored.get(key)?.entry,
		list: prefix => [...stored.values()].map(({entry}) => entry).filter(({key}) => key.startsWith(prefix)),
		put,
		removeLeased(lease) {
			const keys = [...stored].filter(([, item]) => item.lease === lease).map(([key]) => key);
			for (const key of keys) {
				put(key, undefined);
			}
		},
		listeners,
		history,
	};
};
