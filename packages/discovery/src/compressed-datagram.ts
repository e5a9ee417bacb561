import {Buffer} from 'node:buffer';
import {deflateRawSync, inflateRawSync} from 'node:zlib';

/** Shortest text that is compressed, in characters; a shorter one saves less than it costs both hosts in processor time. */
export const minCompressedLength = 600;
/** Longest text that a compressed datagram may hold, in bytes. */
const maxTextBytes = 256_000;
/** Level of compression that takes least processor time. */
const fastestLevel = 1;
/** First byte of a text: datagrams are JSON arrays. */
const textStart = '['.codePointAt(0);
/** First byte of a compressed datagram, which no text has. */
const compressedMark = 0;

/** Compresses the text of a datagram; one that is short stays as it is. */
export const compressDatagram = (text: string): string | Uint8Array =>
	text.length < minCompressedLength ? text : Buffer.concat([Buffer.of(compressedMark), deflateRawSync(text, {level: fastestLevel})]);

/** Returns the text of a datagram, compressed or not; undefined if it can't be read. */
export const readDatagram = (bytes: Uint8Array): string | undefined => {
	if (bytes[0] === textStart) {
		return Buffer.from(bytes).toString('utf8');
	}

	if (bytes[0] !== compressedMark) {
		return undefined;
	}

	try {
		return inflateRawSync(bytes.subarray(1), {maxOutputLength: maxTextBytes}).toString('utf8');
	} catch {
		// The caller logs datagrams that can't be read.
		return undefined;
	}
};
