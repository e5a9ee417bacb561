import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import {pipeline, type Readable} from 'node:stream';
import {createGunzip} from 'node:zlib';
import {processReplyMemory} from './reply-memory.js';
import {createReplyScanner, type ItemReader, type ReplyBody} from './reply-scanner.js';
import {maxReplySize, OversizedReplyError} from './reply-size.js';

/** List in the object of a reply whose items are read one at a time as they arrive, so that what is dropped of them costs no memory, however much it is. */
export type ReplyList = {
	/** Field that holds the list. */
	field: string;
	/** Called with the head of a reply; returns what reads its items. */
	open: (headers: IncomingHttpHeaders) => ItemReader;
};

/** Bytes of a reply that have arrived, decompressed. */
export type ReplyProgress = {bytes: number};

/** Returns the decompressed body of a message; its errors are those of the message, too. */
const decompress = (message: IncomingMessage): Readable =>
	message.headers['content-encoding'] === 'gzip' ? pipeline(message, createGunzip(), () => undefined) : message;

/** Reads and parses the body of a reply, up to `maxReplySize` without the items of its list that are dropped; closes the connection and throws for a larger one, or one that isn't JSON. */
export const readReply = async (message: IncomingMessage, {list, progress = {bytes: 0}}: {list?: ReplyList | undefined; progress?: ReplyProgress} = {}): Promise<ReplyBody> => {
	if (list === undefined && Number(message.headers['content-length'] ?? 0) > maxReplySize.bytes) {
		message.destroy();
		throw new OversizedReplyError();
	}

	const content = decompress(message);
	const account = processReplyMemory.open(error => {
		content.destroy(error);
	});
	const scanner = createReplyScanner({...(list !== undefined && {list: {field: list.field, read: list.open(message.headers)}}), onHeld: account.hold});
	try {
		for await (const chunk of content) {
			const bytes = chunk as Uint8Array;
			progress.bytes += bytes.length;
			scanner.push(bytes);
		}

		return scanner.end();
	} finally {
		account.end();
	}
};
