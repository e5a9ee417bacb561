import type {Logger} from '@gentianlift/logger';
import type {Entry} from '@gentianlift/types';
import {maxKeyLength} from './entry-decoder.js';

/** What the entries of the store that name nothing come to. */
export type ForeignTotals = {
	/** Entries that are there, and the characters of their values. */
	entries: number;
	length: number;
	/** Those that were read since the start, each as often as it was. */
	entriesRead: number;
	lengthRead: number;
};

/**
The entries of the store that name nothing, such as those of another writer. A host holds none of them; this counts them, so that an operator learns who writes what.

Only so many keys are remembered. Of the entries beyond, one that is written again counts again, until the whole state is read.
*/
export type ForeignEntries = {
	/** Records an entry that was read; `reason` says why it can't be, and is undefined for one of no known kind. */
	add: (entry: Entry, reason: string | undefined) => void;
	/** Records that an entry names something, or is gone. */
	remove: (storeKey: string) => void;
	/** Begins a reading of the whole state. */
	beginReading: () => void;
	/** Ends it: entries that weren't read again are gone. */
	endReading: () => void;
	/** Returns the number of entries that can't be read. */
	countUnreadable: () => number;
	getTotals: () => ForeignTotals;
};

type KnownEntry = {length: number; revision: number; isUnreadable: boolean; reading: number};

/** Most keys that are remembered, and most of them that are logged one by one. */
const limits = {keys: 1000, loggedKeys: 50} as const;
const maxReasonLength = 200;
/** Number of the largest entries that a log line names, and the longest part of a key in it. */
const named = {entries: 5, keyLength: 100} as const;
/** Entries and characters read after which the first summary is logged; each further one when they have doubled. */
const firstSummary = {entries: 64, length: 4 * 1024 * 1024} as const;

/** Sums of entries beyond those whose keys are remembered. */
type OtherEntries = {entries: number; length: number; unreadable: number};

const nothing: Readonly<OtherEntries> = {entries: 0, length: 0, unreadable: 0};

/** Creates an empty record. */
export const createForeignEntries = (logger: Logger): ForeignEntries => {
	const known = new Map<string, KnownEntry>();
	/** Entries beyond those whose keys are remembered. */
	let others: OtherEntries = {...nothing};
	let othersOfReading: OtherEntries = {...nothing};
	let reading = 0;
	let loggedKeys = 0;
	const read = {entries: 0, length: 0};
	const nextSummary: {entries: number; length: number} = {...firstSummary};

	const getTotals = (): ForeignTotals => ({
		entries: known.size + others.entries,
		length: [...known.values()].reduce((sum, {length}) => sum + length, others.length),
		entriesRead: read.entries,
		lengthRead: read.length,
	});

	const logSummary = (key: string): void => {
		const largest = [...known].toSorted(([, one], [, other]) => other.length - one.length).slice(0, named.entries);
		logger.warn('entries-foreign', {
			...getTotals(), last: key.slice(0, named.keyLength), largest: largest.map(([name, {length}]) => `${name.slice(0, named.keyLength)}:${length}`).join(','),
		});
	};

	const countRead = ({key, value}: Entry): void => {
		read.entries += 1;
		read.length += value.length;
		if (read.entries >= nextSummary.entries || read.length >= nextSummary.length) {
			nextSummary.entries = Math.max(nextSummary.entries, 2 * read.entries);
			nextSummary.length = Math.max(nextSummary.length, 2 * read.length);
			logSummary(key);
		}
	};

	const logKey = ({key}: Entry, reason: string): void => {
		if (loggedKeys < limits.loggedKeys) {
			loggedKeys += 1;
			logger.warn('entry-unreadable', {key: key.slice(0, named.keyLength), reason: reason.slice(0, maxReasonLength)});
		}
	};

	const countOther = ({value}: Entry, isUnreadable: boolean): void => {
		for (const sum of [others, othersOfReading]) {
			sum.entries += 1;
			sum.length += value.length;
			sum.unreadable += isUnreadable ? 1 : 0;
		}
	};

	return {
		add(entry, reason) {
			const earlier = known.get(entry.key);
			if (earlier !== undefined && earlier.revision >= entry.revision) {
				earlier.reading = reading;
				return;
			}

			const isRemembered = earlier !== undefined || (known.size < limits.keys && entry.key.length <= maxKeyLength);
			if (isRemembered) {
				known.set(entry.key, {
					length: entry.value.length, revision: entry.revision, isUnreadable: reason !== undefined, reading,
				});
			} else {
				countOther(entry, reason !== undefined);
			}

			if (reason !== undefined && earlier === undefined) {
				logKey(entry, reason);
			}

			countRead(entry);
		},
		remove(storeKey) {
			known.delete(storeKey);
		},
		beginReading() {
			reading += 1;
			othersOfReading = {...nothing};
		},
		endReading() {
			others = {...othersOfReading};
			for (const [key, entry] of known) {
				if (entry.reading < reading) {
					known.delete(key);
				}
			}

			// Keys that are gone leave their lines to others.
			loggedKeys = Math.min(loggedKeys, known.size);
		},
		countUnreadable: () => [...known.values()].filter(({isUnreadable}) => isUnreadable).length + others.unreadable,
		getTotals,
	};
};
