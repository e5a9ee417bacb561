import type {Entry, SnapshotOutcome, StateReading} from '@gentianlift/types';
import {getReason, isOversizedReply} from './json-client.js';
import {maxReplySize} from './reply-size.js';
import {getEra, type EraOutcome} from './store-era.js';

/** Page of the entries of a store that are kept, its last key, and the revision at which it was read. */
export type Page = {entries: Entry[]; lastKey: string; revision: number; isTruncated: boolean};

/** Reply with a page; without one if it can't be read. */
export type PageReply = EraOutcome & {page?: Page};

/** Reads the page after a key, the first one after an empty key; keeps what `select` returns of its entries. */
export type ReadPage = (after: string, select: StateReading['select']) => Promise<PageReply>;

/** Most pages of one read: more than any number of entries fills that can be read in time. */
const maxPages = 20_000;
/** Values of an item of a list, in about. */
const valuesPerItem = 5;

/** Position of a reading before its first page. */
const firstPage = {after: '', revision: undefined} as const;

/** Creates a reading that keeps each entry. All of them together may have the size of one reply, as they are kept until the last page has come. */
export const createWholeReading = (): StateReading => {
	const entries: Entry[] = [];
	let bytes = 0;
	return {
		position: {...firstPage},
		select: entry => entry,
		add(entry) {
			entries.push(entry);
			bytes += entry.key.length + entry.value.length;
		},
		getEntries: () => entries,
		isOversized: () => bytes > maxReplySize.bytes || entries.length * valuesPerItem > maxReplySize.values,
	};
};

/** Reads all entries of a store page by page, from where the reading stands: one that has failed goes on at the page that was missing, unless the store was restored meanwhile. */
export const readPages = async (readPage: ReadPage, reading = createWholeReading()): Promise<SnapshotOutcome> => {
	const {position} = reading;
	for (let pages = 0; pages < maxPages; pages++) {
		// eslint-disable-next-line no-await-in-loop -- The last key of each page is the start of the next.
		const {outcome, era, page} = await readPage(position.after, reading.select);
		if (isOversizedReply(outcome)) {
			return {kind: 'oversized'};
		}

		if (page === undefined) {
			return {kind: 'unavailable', reason: getReason(outcome)};
		}

		if (era !== getEra(position.revision ?? page.revision)) {
			Object.assign(position, firstPage);
			return {kind: 'unavailable', reason: 'restored'};
		}

		// Pages may be of different revisions. The first one's is returned, so that the watch reads all later changes.
		position.revision ??= page.revision;
		for (const entry of page.entries) {
			reading.add(entry);
		}

		if (reading.isOversized()) {
			return {kind: 'oversized'};
		}

		const {lastKey, isTruncated} = page;
		if (!isTruncated || lastKey === '') {
			return {kind: 'found', snapshot: {entries: reading.getEntries(), revision: position.revision}};
		}

		if (lastKey === position.after) {
			return {kind: 'oversized'};
		}

		position.after = lastKey;
	}

	return {kind: 'oversized'};
};
