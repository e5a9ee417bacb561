import {Buffer} from 'node:buffer';
import {headPattern, sectionEnd} from './syntax.js';

/**
What was read of an answer's head:
- `open`: a part of it
- `ended`: all of it; `rest` are the bytes behind it
- `malformed`: bytes that no head has
*/
export type HeadProgress = {kind: 'open'} | {kind: 'ended'; rest: Uint8Array} | {kind: 'malformed'};

/** Reads the head of an answer, with the informational answers before it. */
export type HeadReader = {read: (chunk: Uint8Array) => HeadProgress};

/** Status of an answer with which a connection changes its protocol; no other answer follows it. */
const switchingProtocols = 101;

/** Whether another answer follows the one with a status. */
const isInformational = (status: number): boolean => status >= 100 && status < 200 && status !== switchingProtocols;

const emptyLines = /^(?:\r\n)+/v;

/** Creates a reader for the answers to one request. */
export const createHeadReader = (): HeadReader => {
	/** What isn't known to be a head yet, one character for each byte. */
	let text = '';

	/** Takes the next head off the text, if all of it is there. */
	const takeHead = (): string | undefined => {
		text = text.replace(emptyLines, '');
		const end = text.indexOf(sectionEnd);
		if (end === -1) {
			return undefined;
		}

		const head = text.slice(0, end + sectionEnd.length);
		text = text.slice(head.length);
		return head;
	};

	return {
		read(chunk) {
			text += Buffer.from(chunk.buffer, chunk.byteOffset, chunk.length).toString('latin1');
			for (let head = takeHead(); head !== undefined; head = takeHead()) {
				const status = headPattern.exec(head)?.groups?.status;
				if (status === undefined) {
					return {kind: 'malformed'};
				}

				if (!isInformational(Number(status))) {
					return {kind: 'ended', rest: chunk.subarray(chunk.length - text.length)};
				}
			}

			return {kind: 'open'};
		},
	};
};
