import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {Readable} from 'node:stream';
import {pipeline} from 'node:stream/promises';
import {oversizedStoreModes, type StoreFailureMode} from './schedule.js';

/** A page of entries, as the fake of a store encodes it. */
export type StorePage = {
	start: string;
	/** Returns an entry that no reader can use, with what separates it from the next. */
	buildEntry: (number: number) => string;
	/** The store's own entries and the end of the page. */
	end: string;
};

/** Number of entries of a large reply beside the store's own; they take some 40 MB. */
const extraEntryCount = 450_000;
/** Number of entries that are encoded at a time, so that encoding leaves time for what else the soak does. */
const entriesPerPiece = 500;
const endlessChunk = Buffer.alloc(65_536, ' ');

/** Whether a store in this mode answers with pages that are too large. */
export const isOversized = (mode: StoreFailureMode | undefined): boolean => (oversizedStoreModes as ReadonlyArray<typeof mode>).includes(mode);

const buildLargePage = function * ({start, buildEntry, end}: StorePage): Generator<string> {
	yield start;
	for (let first = 0; first < extraEntryCount; first += entriesPerPiece) {
		yield Array.from({length: entriesPerPiece}, (_, index) => buildEntry(first + index)).join('');
	}

	yield end;
};

const buildEndlessPage = function * ({start}: StorePage, isOn: () => boolean): Generator<string | Uint8Array> {
	yield start;
	while (isOn()) {
		yield endlessChunk;
	}

	throw new Error('the page ends without its end');
};

/** Answers with a page that is too large, as fast as it is read, for as long as the store's mode lasts if it is endless; rejects if the page isn't completed. */
export const writeOversizedPage = async (response: ServerResponse, page: StorePage, getMode: () => StoreFailureMode | undefined): Promise<void> =>
	pipeline(Readable.from(getMode() === 'large' ? buildLargePage(page) : buildEndlessPage(page, () => getMode() === 'endless')), response);
