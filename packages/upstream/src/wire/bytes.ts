import {Buffer} from 'node:buffer';

const encoder = new TextEncoder();
const decoder = new TextDecoder();

/** Encodes text as UTF-8. */
export const encodeText = (text: string): Uint8Array => encoder.encode(text);

/** Decodes UTF-8 bytes. */
export const decodeText = (bytes: Uint8Array): string => decoder.decode(bytes);

/** Returns the position of the first occurrence of a pattern at or after `from`, or -1. Uses the native search of `Buffer` on the undecoded bytes. */
export const findBytes = (bytes: Uint8Array, pattern: Uint8Array, from: number): number => {
	const view = Buffer.isBuffer(bytes) ? bytes : Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
	return view.indexOf(pattern, from);
};

/** Returns whether the bytes at a position equal the pattern. */
export const hasBytesAt = (bytes: Uint8Array, pattern: Uint8Array, position: number): boolean => {
	let offset = 0;
	while (offset < pattern.length && bytes[position + offset] === pattern[offset]) {
		offset++;
	}

	return offset === pattern.length;
};

/** Concatenates pieces; a single piece is returned without a copy. */
export const joinBytes = (pieces: Uint8Array[]): Uint8Array => {
	const [first] = pieces;
	return pieces.length === 1 && first !== undefined ? first : Buffer.concat(pieces);
};
