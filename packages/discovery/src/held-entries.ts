import type {Entry} from '@gentianlift/types';

/** The entries of the store that a host holds, by key, up to a limit that the state of a large fleet doesn't reach. */
export type HeldEntries = {
	get: (key: string) => Entry | undefined;
	/** Whether there is room for an entry in place of the one with its key. */
	canHold: (entry: Entry) => boolean;
	/** Holds an entry in place of the one with its key, for which there must be room. */
	set: (entry: Entry) => void;
	delete: (key: string) => void;
	keys: () => Iterable<string>;
	values: () => Iterable<Entry>;
	count: () => number;
	/** Whether there is room for more entries than one, so that those which found none are to be read again. */
	hasRoom: () => boolean;
};

/** Most entries, and most characters of their keys and values together. */
const limits = {entries: 20_000, length: 5_000_000} as const;
/** Room for more entries and characters, the longest one included, with which those that found none are read again. */
const roomForMore = {entries: 2000, length: 2_500_000} as const;

const getLength = (entry: Entry | undefined): number => entry === undefined ? 0 : entry.key.length + entry.value.length;

/** Creates it without entries. */
export const createHeldEntries = (): HeldEntries => {
	const entries = new Map<string, Entry>();
	let length = 0;
	return {
		get: key => entries.get(key),
		canHold(entry) {
			const known = entries.get(entry.key);
			const added = getLength(entry) - getLength(known);
			const hasPlace = known !== undefined || entries.size < limits.entries;
			return hasPlace && (added <= 0 || length + added <= limits.length);
		},
		set(entry) {
			length += getLength(entry) - getLength(entries.get(entry.key));
			entries.set(entry.key, entry);
		},
		delete(key) {
			length -= getLength(entries.get(key));
			entries.delete(key);
		},
		keys: () => entries.keys(),
		values: () => entries.values(),
		count: () => entries.size,
		hasRoom: () => entries.size <= limits.entries - roomForMore.entries && length <= limits.length - roomForMore.length,
	};
};
