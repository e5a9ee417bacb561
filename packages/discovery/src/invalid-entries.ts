import type {Logger} from '@gentianlift/logger';

/** Entries of the store that can't be read. Each is logged once until it can be read or is gone, however often it is written. */
export type InvalidEntries = {
	/** Records an entry, and why it can't be read. */
	add: (storeKey: string, reason: string) => void;
	/** Records that an entry can be read, or is gone. */
	remove: (storeKey: string) => void;
	count: () => number;
};

const maxReasonLength = 200;

/** Creates an empty record. */
export const createInvalidEntries = (logger: Logger): InvalidEntries => {
	const storeKeys = new Set<string>();
	return {
		add(storeKey, reason) {
			if (!storeKeys.has(storeKey)) {
				storeKeys.add(storeKey);
				logger.warn('entry-unreadable', {key: storeKey, reason: reason.slice(0, maxReasonLength)});
			}
		},
		remove(storeKey) {
			storeKeys.delete(storeKey);
		},
		count: () => storeKeys.size,
	};
};
