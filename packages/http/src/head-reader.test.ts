import {Buffer} from 'node:buffer';
import {expect, test} from 'vitest';
import {createHeadReader, type HeadProgress} from './head-reader.js';

const read = (...pieces: string[]): HeadProgress => {
	const reader = createHeadReader();
	let progress: HeadProgress = {kind: 'open'};
	for (const piece of pieces) {
		if (progress.kind === 'open') {
			progress = reader.read(Buffer.from(piece, 'latin1'));
		}
	}

	return progress;
};

const getRest = (progress: HeadProgress): string | undefined => progress.kind === 'ended' ? String(progress.rest) : undefined;

const head = 'HTTP/1.1 200 OK\r\nA: 1\r\nB-C:\r\nD: \u00E4\t!\r\n\r\n';

test('a head is read up to its end, however it is split', () => {
	for (let first = 0; first <= head.length; first++) {
		expect(read(head.slice(0, first), head.slice(first)).kind).toBe('ended');
		expect(read(head.slice(0, first)).kind).toBe(first === head.length ? 'ended' : 'open');
	}

	expect(read(...head).kind).toBe('ended');
	expect(getRest(read(`${head}body\r\n`))).toBe('body\r\n');
});

test('informational answers and empty lines before an answer are passed over', () => {
	const early = 'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n';
	expect(getRest(read(`\r\n\r\n${early}${early}${head}x`))).toBe('x');
	expect(read(early).kind).toBe('open');
	expect(read('HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n').kind).toBe('ended');
	expect(read(early.replace('Link', 'Li nk')).kind).toBe('malformed');
});

const statusLines = ['HTTP/1.1 200', 'HTTP/1.1 200 ', 'HTTP/1.1 200 O K', 'HTTP/1.0 404 \u00E4'];

test('a status line needs no reason', () => {
	for (const line of statusLines) {
		expect(read(`${line}\r\n\r\n`).kind).toBe('ended');
	}
});

const otherTokenCharacters = '!#$%&\'*+-.^`|~';
const isToken = (character: string): boolean => /^\w$/v.test(character) || otherTokenCharacters.includes(character);
const byteValues = 256;
const allBytes = Array.from({length: byteValues}, (_, byte) => String.fromCodePoint(byte));

// Guards against: a byte that no name has in it, at its start or behind it, passes for a part of it, or for the end of the head.
test('a name has no byte that isn\'t one of a token', () => {
	for (const byte of allBytes) {
		const expected = isToken(byte) ? 'ended' : 'malformed';
		for (const name of [`${byte}A`, `A${byte}B`, `A${byte}`]) {
			const isSplitByColon = byte === ':' && name !== ':A';
			expect([name, read(`HTTP/1.1 200 OK\r\nX: 1\r\n${name}: 1\r\n\r\n`).kind]).toEqual([name, isSplitByColon ? 'ended' : expected]);
		}
	}
});

test('a value and a reason have no control byte', () => {
	for (const [code, byte] of allBytes.entries()) {
		const isText = code === 0x09 || (code >= 0x20 && code !== 0x7F);
		const expected = isText ? 'ended' : 'malformed';
		expect([code, read(`HTTP/1.1 200 OK\r\nX: a${byte}b\r\n\r\n`).kind]).toEqual([code, expected]);
		expect([code, read(`HTTP/1.1 200 O${byte}K\r\n\r\n`).kind]).toEqual([code, expected]);
	}
});

test('a line ends with both bytes of its end', () => {
	for (const fields of ['\nA: 1\r\n\r\n', '\r\nA: 1\n\r\n', '\r\nA: 1\r\n\n', '\r\nA: 1\r\n\rX', '\r\n\n', '\rX\r\n\r\n']) {
		expect([fields, read(`HTTP/1.1 200 OK${fields}`).kind === 'ended']).toEqual([fields, false]);
	}

	expect(read(`\n${head}`).kind).toBe('malformed');
});
