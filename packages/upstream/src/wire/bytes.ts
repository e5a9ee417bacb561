import {Buffer} from 'node:buffer';

const encoder = new TextEncoder();
const decoder = new TextDecoder();

/** Bytes of a text in UTF-8. */
export const encodeText = (text: string): Uint8Array => encoder.encode(text);

/** Text of bytes in UTF-8. */
export const decodeText = (bytes: Uint8Array): string => decoder.decode(bytes);

/** Position of the wanted bytes from a position on; -1 if they aren't there. Searches natively, without decoding. */
export const findBytes = (bytes: Uint8Array, wanted: Uint8Array, from: number): number => {
	const view = Buffer.isBuffer(bytes) ? bytes : Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
	return view.indexOf(wanted, from);
};

/** Whether the bytes at a position are the wanted ones. */
export const hasBytesAt = (bytes: Uint8Array, wanted: Uint8Array, at: number): boolean => {
	let offset = 0;
	while (offset < wanted.length && bytes[at + offset] === wanted[offset]) {
		offset++;
	}

	return offset === wanted.length;
};

/** Joins pieces into one. */
export const joinBytes = (pieces: Uint8Array[]): Uint8Array => {
	const [first] = pieces;
	return pieces.length === 1 && first !== undefined ? first : Buffer.concat(pieces);
};
