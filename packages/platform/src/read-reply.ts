import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {pipeline, type Readable} from 'node:stream';
import {createGunzip} from 'node:zlib';
import {processReplyMemory, type ReplyAccount} from './reply-memory.js';
import {
	countValues, isOversized, maxReplySize, OversizedReplyError, type ReplySize,
} from './reply-size.js';

/** Body of a reply, parsed, and its size. */
export type ReplyBody = {body: unknown; size: ReplySize};

/** Room for a reply whose head names no length. */
const initialRoom = 16 * 1024;

/** Returns the decompressed body of a message; its errors are those of the message, too. */
const decompress = (message: IncomingMessage): Readable =>
	message.headers['content-encoding'] === 'gzip' ? pipeline(message, createGunzip(), () => undefined) : message;

/** Returns bytes with room for more, at most as many as a reply may have. */
const grow = (bytes: Uint8Array, room: number): Uint8Array => {
	const grown = Buffer.allocUnsafeSlow(Math.min(maxReplySize.bytes, Math.max(room, 2 * bytes.length)));
	grown.set(bytes);
	return grown;
};

/** Reads all bytes of a reply into one buffer: chunks that are kept cost memory of their own, however few bytes they have. */
const readBytes = async (content: Readable, account: ReplyAccount): Promise<Uint8Array> => {
	let bytes: Uint8Array = Buffer.alloc(0);
	let length = 0;
	for await (const chunk of content) {
		const added = chunk as Uint8Array;
		if (length + added.length > maxReplySize.bytes) {
			throw new OversizedReplyError();
		}

		if (length + added.length > bytes.length) {
			bytes = grow(bytes, Math.max(initialRoom, length + added.length));
			account.hold(bytes.length);
		}

		bytes.set(added, length);
		length += added.length;
	}

	return bytes.subarray(0, length);
};

const parse = (bytes: Uint8Array): ReplyBody => {
	const size = {bytes: bytes.length, values: countValues(bytes)};
	if (isOversized(size, maxReplySize)) {
		throw new OversizedReplyError();
	}

	const text = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length).toString('utf8');
	return {body: text === '' ? undefined : JSON.parse(text) as unknown, size};
};

/** Reads and parses the body of a reply, up to `maxReplySize`; closes the connection and throws for a larger one, or one that isn't JSON. */
export const readReply = async (message: IncomingMessage): Promise<ReplyBody> => {
	if (Number(message.headers['content-length'] ?? 0) > maxReplySize.bytes) {
		message.destroy();
		throw new OversizedReplyError();
	}

	const content = decompress(message);
	const account = processReplyMemory.open(error => {
		content.destroy(error);
	});
	try {
		return parse(await readBytes(content, account));
	} finally {
		account.end();
	}
};
