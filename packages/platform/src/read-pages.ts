import type {Entry, SnapshotOutcome} from '@gentianlift/types';
import {getReason, isOversizedReply, type JsonOutcome} from './json-client.js';
import {
	addReplySizes, isOversized, maxReplySize, type ReplySize,
} from './reply-size.js';
import {getEra, type EraOutcome} from './store-era.js';

/** Page of the entries of a store, and the revision at which it was read. */
export type Page = {entries: Entry[]; revision: number; isTruncated: boolean};

/** Reply with a page; without one if it can't be read. */
export type PageReply = EraOutcome & {page?: Page};

/** Most pages of one read. */
const maxPages = 200;

const addReply = (size: ReplySize, outcome: JsonOutcome): ReplySize => outcome.kind === 'answered' ? addReplySizes(size, outcome.size) : size;

/** Reads all entries of a store page by page. All pages together may have the size of one reply, as they are kept until the last one has come. `readPage` reads the page after a key, the first one after an empty key. */
export const readPages = async (readPage: (after: string) => Promise<PageReply>): Promise<SnapshotOutcome> => {
	const entries: Entry[] = [];
	let revision: number | undefined;
	let size: ReplySize = {bytes: 0, values: 0};
	let after = '';
	for (let pages = 0; pages < maxPages; pages++) {
		// eslint-disable-next-line no-await-in-loop -- The last key of each page is the start of the next.
		const {outcome, era, page} = await readPage(after);
		size = addReply(size, outcome);
		if (isOversizedReply(outcome) || isOversized(size, maxReplySize)) {
			return {kind: 'oversized'};
		}

		if (page === undefined || era !== getEra(revision ?? page.revision)) {
			return {kind: 'unavailable', reason: page === undefined ? getReason(outcome) : 'restored'};
		}

		// Pages may be of different revisions. The first one's is returned, so that the watch reads all later changes.
		revision ??= page.revision;
		entries.push(...page.entries);
		after = page.entries.at(-1)?.key ?? '';
		if (!page.isTruncated || after === '') {
			return {kind: 'found', snapshot: {entries, revision}};
		}
	}

	return {kind: 'oversized'};
};
