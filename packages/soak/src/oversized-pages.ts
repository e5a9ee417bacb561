import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {Readable} from 'node:stream';
import {pipeline} from 'node:stream/promises';

/** Text of a page of entries in a deployment's encoding. */
export type PageText = {
	/** Text before the first entry. */
	start: string;
	/** Encodes an entry, followed by a separator, that names an upstream which no reader can use. */
	encodeExtra: (number: number) => string;
	/** Text of the store's own entries and of the end of the page. */
	end: string;
};

/** Number of entries of a large page beside the store's own. */
const extraEntryCount = 450_000;
/** Number of entries that are encoded at a time, so that encoding leaves time for what else the soak does. */
const entriesPerPiece = 500;
const endlessChunk = Buffer.alloc(65_536, ' ');

/** Returns the pieces of a page that has a very large number of entries before the store's own. */
const buildLargePage = function * ({start, encodeExtra, end}: PageText): Generator<string> {
	yield start;
	for (let first = 0; first < extraEntryCount; first += entriesPerPiece) {
		yield Array.from({length: entriesPerPiece}, (_, index) => encodeExtra(first + index)).join('');
	}

	yield end;
};

/** Answers with a very large page, as fast as it is read; rejects if the reader closes the connection. */
export const writeLargePage = async (response: ServerResponse, page: PageText): Promise<void> =>
	pipeline(Readable.from(buildLargePage(page)), response);

/** Begins a page and goes on with it, as fast as it is read, while `isOn` holds and the connection is open. */
export const writeEndlessPage = (response: ServerResponse, {start}: PageText, isOn: () => boolean): void => {
	const writeNext = (): void => {
		while (isOn() && !response.destroyed) {
			if (!response.write(endlessChunk)) {
				return;
			}
		}

		response.destroy();
	};

	response.on('drain', writeNext);
	response.write(start);
	writeNext();
};
