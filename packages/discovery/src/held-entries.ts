import {Buffer} from 'node:buffer';
import type {Entry} from '@gentianlift/types';

/** Whether a host uses an entry, or might later: a `spare` one makes room for one that is used. */
export type EntryRank = 'used' | 'spare';

/** Outcome of putting an entry in: whether it is held, and the keys of spare ones that made room for it. */
export type PutOutcome = {isHeld: boolean; displaced: readonly string[]};

/** The entries of the store that a host holds, by key, up to a limit that the state of a large fleet doesn't reach. */
export type HeldEntries = {
	get: (key: string) => Entry | undefined;
	/** Holds an entry in place of the one with its key, if there is room or spare entries can make it; else that one stays. */
	put: (entry: Entry, rank: EntryRank) => PutOutcome;
	/** Returns the rank of the entry with a key; undefined if there is none. */
	getRank: (key: string) => EntryRank | undefined;
	/** Changes the rank of the entry with a key, if there is one. */
	setRank: (key: string, rank: EntryRank) => void;
	delete: (key: string) => void;
	keys: () => Iterable<string>;
	values: () => Iterable<Entry>;
	count: () => number;
	/** Whether there is room for more entries than one, so that those which found none are to be read again. */
	hasRoom: () => boolean;
};

/** Most entries, and most bytes of all together in a reply, which another host must be able to read. */
const limits = {entries: 20_000, length: 5_000_000} as const;
/** Room for more entries and bytes, the longest one included, with which those that found none are read again. */
const roomForMore = {entries: 2000, length: 2_500_000} as const;

type HeldEntry = {entry: Entry; length: number; rank: EntryRank};
type Size = {entries: number; length: number};

/** Returns the bytes that an entry takes in a reply: escaped and encoded, characters have up to three, and some six. */
const getLength = (entry: Entry): number => Buffer.byteLength(JSON.stringify(entry));

const isWithinLimits = ({entries, length}: Size): boolean => entries <= limits.entries && length <= limits.length;

/** Creates it without entries. */
export const createHeldEntries = (): HeldEntries => {
	const held = new Map<string, HeldEntry>();
	/** Keys of spare entries, in the order in which they make room. */
	const spareKeys = new Set<string>();
	let [length, spareLength] = [0, 0];

	const remove = (key: string): void => {
		const known = held.get(key);
		length -= known?.length ?? 0;
		spareLength -= spareKeys.delete(key) ? known?.length ?? 0 : 0;
		held.delete(key);
	};

	const add = (added: HeldEntry): void => {
		const {key} = added.entry;
		held.set(key, added);
		length += added.length;
		if (added.rank === 'spare') {
			spareKeys.add(key);
			spareLength += added.length;
		}
	};

	/** Size with an entry in place of the one with its key. */
	const getSizeWith = ({entry, length: added}: HeldEntry): Size => {
		const known = held.get(entry.key);
		return {entries: held.size + (known === undefined ? 1 : 0), length: length + added - (known?.length ?? 0)};
	};

	/** Size with an entry and without any spare one. */
	const getLeastSizeWith = (added: HeldEntry): Size => {
		const {entries, length: total} = getSizeWith(added);
		const replaced = spareKeys.has(added.entry.key) ? held.get(added.entry.key) : undefined;
		return {entries: entries - spareKeys.size + (replaced === undefined ? 0 : 1), length: total - spareLength + (replaced?.length ?? 0)};
	};

	/** Removes spare entries until there is room for one that is used; returns their keys. */
	const makeRoom = (added: HeldEntry): string[] => {
		const displaced: string[] = [];
		for (const key of spareKeys) {
			if (isWithinLimits(getSizeWith(added))) {
				break;
			}

			if (key !== added.entry.key) {
				remove(key);
				displaced.push(key);
			}
		}

		return displaced;
	};

	return {
		get: key => held.get(key)?.entry,
		put(entry, rank) {
			const added = {entry, length: getLength(entry), rank};
			const hasRoom = isWithinLimits(getSizeWith(added));
			const canMakeRoom = rank === 'used' && isWithinLimits(getLeastSizeWith(added));
			if (!hasRoom && !canMakeRoom) {
				return {isHeld: false, displaced: []};
			}

			const displaced = hasRoom ? [] : makeRoom(added);
			const known = held.get(entry.key);
			if (known?.rank === rank) {
				// Keeps its place in the order.
				length += added.length - known.length;
				spareLength += rank === 'spare' ? added.length - known.length : 0;
				held.set(entry.key, added);
			} else {
				remove(entry.key);
				add(added);
			}

			return {isHeld: true, displaced};
		},
		getRank: key => held.get(key)?.rank,
		setRank(key, rank) {
			const known = held.get(key);
			if (known !== undefined && known.rank !== rank) {
				remove(key);
				add({...known, rank});
			}
		},
		delete: remove,
		keys: () => held.keys(),
		* values() {
			for (const {entry} of held.values()) {
				yield entry;
			}
		},
		count: () => held.size,
		hasRoom: () => held.size <= limits.entries - roomForMore.entries && length <= limits.length - roomForMore.length,
	};
};
