import {Buffer} from 'node:buffer';
import {fieldLinePattern, sizeLinePattern} from './syntax.js';

/** Where the reader is in a body in chunks: in a line with a size, in the bytes of a chunk, in the line end behind them, in the trailer, behind the body, or at bytes that no such body has. */
type ChunkState = 'size' | 'data' | 'data-end' | 'trailer' | 'ended' | 'malformed';

/** Reads a body in chunks up to its end (RFC 9112, section 7.1). */
export type ChunkReader = {
	read: (bytes: Uint8Array) => void;
	/** Whether the body has ended. */
	hasEnded: () => boolean;
	/** Whether the body has bytes that none has. */
	isMalformed: () => boolean;
};

const lineFeed = 0x0A;
const carriageReturn = 0x0D;
const lineEnd = '\r\n';
const hexadecimal = 16;
/** Largest size of a line, in bytes; Node's parser takes no longer ones. */
const maxLineBytes = 16 * 1024;

/** A byte 13 that begins no line end. */
const bareReturnPattern = /\r[^\n]/v;

/** Whether a line end stands at a position. */
const isLineEnd = (bytes: Uint8Array, position: number): boolean => bytes[position] === carriageReturn && bytes[position + 1] === lineFeed;

/** Value of each byte as a hexadecimal digit; that of other bytes is `notDigit`. */
const notDigit = 255;
const digitValues = Uint8Array.from({length: 256}, (_, byte) => {
	const value = Number.parseInt(String.fromCodePoint(byte), hexadecimal);
	return Number.isNaN(value) ? notDigit : value;
});

/** Size of a chunk, and the position behind the line that names it. */
type SizeLine = {size: number; next: number};

/** Most digits of a size that are read without a pattern. */
const maxPlainDigits = 8;

/** Returns the size that a line of digits names; undefined for a line that has more or isn't all there. */
const readPlainSize = (bytes: Uint8Array, start: number): SizeLine | undefined => {
	let size = 0;
	for (let position = start; position < start + maxPlainDigits; position++) {
		const value = digitValues[bytes[position] ?? notDigit]!;
		if (value === notDigit) {
			return position > start && isLineEnd(bytes, position) ? {size, next: position + lineEnd.length} : undefined;
		}

		size = (size * hexadecimal) + value;
	}

	return undefined;
};

/** Creates a reader at the start of a body. */
export const createChunkReader = (): ChunkReader => {
	let state: ChunkState = 'size';
	/** The part of a line that has been read, with its end once that has been. */
	let line = '';
	/** Bytes of the chunk that have not been read. */
	let remaining = 0;

	/** Reads a part of a line, up to its end; returns the position behind it. */
	const readLine = (bytes: Uint8Array, start: number): number => {
		const end = bytes.indexOf(lineFeed, start);
		const next = end === -1 ? bytes.length : end + 1;
		line += Buffer.from(bytes.buffer, bytes.byteOffset + start, next - start).toString('latin1');
		return next;
	};

	/** Returns the state after a size. */
	const startChunk = (size: number): ChunkState => {
		remaining = size;
		return size === 0 ? 'trailer' : 'data';
	};

	const endSizeLine = (): ChunkState => {
		const size = sizeLinePattern.exec(line)?.groups?.size;
		return size === undefined ? 'malformed' : startChunk(Number.parseInt(size, hexadecimal));
	};

	const endTrailerLine = (): ChunkState => {
		if (line === lineEnd) {
			return 'ended';
		}

		return fieldLinePattern.test(line) ? 'trailer' : 'malformed';
	};

	/** Returns the state after a line. */
	const endLine = (current: 'size' | 'data-end' | 'trailer'): ChunkState => {
		switch (current) {
			case 'size': {
				return endSizeLine();
			}

			case 'data-end': {
				return line === lineEnd ? 'size' : 'malformed';
			}

			case 'trailer': {
				return endTrailerLine();
			}
		}
	};

	/** Reads what stands between the bytes of most chunks; returns the position behind it, or undefined if something else stands there. */
	const readPlain = (bytes: Uint8Array, position: number): number | undefined => {
		if (state === 'data-end' && isLineEnd(bytes, position)) {
			state = 'size';
			return position + lineEnd.length;
		}

		const plain = state === 'size' ? readPlainSize(bytes, position) : undefined;
		if (plain !== undefined) {
			state = startChunk(plain.size);
		}

		return plain?.next;
	};

	/** Reads from a position on, up to the next change of the state; returns the position behind that. */
	const readNext = (bytes: Uint8Array, position: number): number => {
		if (state === 'data') {
			const length = Math.min(remaining, bytes.length - position);
			remaining -= length;
			state = remaining === 0 ? 'data-end' : 'data';
			return position + length;
		}

		if (state === 'ended' || state === 'malformed') {
			return bytes.length;
		}

		const plain = line === '' ? readPlain(bytes, position) : undefined;
		if (plain !== undefined) {
			return plain;
		}

		const next = readLine(bytes, position);
		if (line.endsWith('\n')) {
			state = endLine(state);
			line = '';
		} else if (line.length > maxLineBytes || bareReturnPattern.test(line)) {
			state = 'malformed';
		}

		return next;
	};

	return {
		read(bytes) {
			for (let position = 0; position < bytes.length;) {
				position = readNext(bytes, position);
			}
		},
		hasEnded: () => state === 'ended',
		isMalformed: () => state === 'malformed',
	};
};
