import type {HostRecord} from './host-record.js';

/** The hosts that the store lists, by the keys of their entries. */
export type ListedHosts = {
	/** Lists a host. */
	apply: (storeKey: string, record: HostRecord) => void;
	remove: (storeKey: string) => void;
	has: (storeKey: string) => boolean;
	/** Returns all records; the same list until one changes. */
	getAll: () => readonly HostRecord[];
};

/** Creates an empty list. */
export const createListedHosts = (): ListedHosts => {
	const hosts = new Map<string, HostRecord>();
	/** Undefined after a change. */
	let list: readonly HostRecord[] | undefined;
	return {
		apply(storeKey, record) {
			hosts.set(storeKey, record);
			list = undefined;
		},
		remove(storeKey) {
			hosts.delete(storeKey);
			list = undefined;
		},
		has: storeKey => hosts.has(storeKey),
		getAll() {
			list ??= [...hosts.values()];
			return list;
		},
	};
};
