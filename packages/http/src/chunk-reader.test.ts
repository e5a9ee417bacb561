import {Buffer} from 'node:buffer';
import {expect, test} from 'vitest';
import {createChunkReader} from './chunk-reader.js';
import {malformedLines} from './testing.js';

type Seen = 'open' | 'ended' | 'malformed';

const read = (...pieces: string[]): Seen => {
	const reader = createChunkReader();
	for (const piece of pieces) {
		reader.read(Buffer.from(piece, 'latin1'));
	}

	if (reader.isMalformed()) {
		return 'malformed';
	}

	return reader.hasEnded() ? 'ended' : 'open';
};

const body = '3\r\nabc\r\nA;x="y"\r\n0123\r\n6789\r\n00\r\nX-A: \u00E4\r\nX-B:\r\n\r\n';

test('a body in chunks is read up to its end, however it is split', () => {
	for (let first = 0; first <= body.length; first++) {
		expect(read(body.slice(0, first), body.slice(first))).toBe('ended');
		expect(read(body.slice(0, first))).toBe(first === body.length ? 'ended' : 'open');
	}

	expect(read(...body)).toBe('ended');
	expect(read(`${body}X`)).toBe('ended');
});

test('sizes and line ends that HTTP doesn\'t have are malformed', () => {
	for (const text of ['\r\n', 'x\r\n', '-1\r\n', '+1\r\n', ' 1\r\n', '1\n', '1\rX\n', '1;\u0001\r\n', '1\r\naXX\n', '1\r\na\n', '1\r\na\rX\n', '1\r\n\r\n\r\r\n', '0\r\n\n', '0\r\n\rX\n']) {
		expect([text, read(text)]).toEqual([text, 'malformed']);
	}

	// What follows may never come.
	for (const text of ['1\rX', '1\r\na\rX', '0\r\n\rX', '0\r\nX-A: b\rX']) {
		expect([text, read(text), read(...text)]).toEqual([text, 'malformed', 'malformed']);
	}

	expect(read('1'.repeat(20_000))).toBe('malformed');
});

test('a trailer has lines of fields', () => {
	for (const line of Object.values(malformedLines)) {
		expect([line, read(`0\r\nA: 1\r\n${line}\r\n\r\n`)]).toEqual([line, 'malformed']);
	}
});
