import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createReplyScanner, type ItemReader, type ReplyBody} from './reply-scanner.js';
import {OversizedReplyError} from './reply-size.js';

const megabyte = 1024 * 1024;

const keepAll: ItemReader = item => ({kind: 'kept', item, bytes: 1});
const dropAll: ItemReader = () => ({kind: 'dropped'});

/** Reads a text in chunks of so many bytes; returns the body and the most bytes that were held. */
const readText = (text: string, {chunk = 65_536, read, field = 'items'}: {chunk?: number; read?: ItemReader; field?: string} = {}): ReplyBody & {maxHeld: number} => {
	let maxHeld = 0;
	const scanner = createReplyScanner({
		...(read !== undefined && {list: {field, read}}), onHeld(bytes) {
			maxHeld = Math.max(maxHeld, bytes);
		},
	});
	const bytes = Buffer.from(text);
	for (let start = 0; start < bytes.length; start += chunk) {
		scanner.push(bytes.subarray(start, start + chunk));
	}

	return {...scanner.end(), maxHeld};
};

test('whatever the reply and its chunks, a body whose items are all kept is what the parser returns', () => {
	const list = fc.array(fc.jsonValue(), {maxLength: 8});
	const fields = fc.dictionary(fc.string(), fc.jsonValue());
	fc.assert(fc.property(fields, list, fields, fc.integer({min: 1, max: 40}), fc.boolean(), (before, items, after, chunk, isSpaced) => {
		const text = JSON.stringify({...before, items, ...after}, undefined, isSpaced ? 1 : 0);
		const expected = JSON.parse(text) as unknown;
		expect(readText(text, {chunk, read: keepAll}).body).toEqual(expected);
		expect(readText(text, {chunk}).body).toEqual(expected);
	}), {seed: 1, numRuns: 2000});
});

test('of items that are dropped nothing is left, and others are kept in order', () => {
	const read: ItemReader = item => item === 2 ? {kind: 'dropped'} : {kind: 'kept', item, bytes: 8};
	expect(readText('{"at":1,"items":[1,2,3],"more":[2]}', {read}).body).toEqual({at: 1, items: [1, 3], more: [2]});
	expect(readText('{"items":[2,2]}', {read}).body).toEqual({items: []});
});

test('a list of the name counts only as a field of the reply', () => {
	expect(readText('{"a":{"items":[1]},"items":{"items":[2]},"b":["items",[3]],"c":"items"}', {read: dropAll}).body).toEqual({
		a: {items: [1]}, items: {items: [2]}, b: ['items', [3]], c: 'items',
	});
	expect(readText('[{"items":[1]}]', {read: dropAll}).body).toEqual([{items: [1]}]);
});

test('a reply that isn\'t JSON fails, wherever it is none', () => {
	for (const text of ['{"items":[1,]}', '{"items":[,1]}', '{"items":[1}', '{"items":[1]', '{"items":[1 2]}', '{"items":[{"a":]}]}', '{"items":[1]]}', '{"items":["a]}', 'x', '{"items":[]}x', String.raw`{"it\u0065ms":[1]}`]) {
		for (const read of [keepAll, dropAll]) {
			expect(() => readText(text, {read})).toThrow(SyntaxError);
		}
	}
});

// Guards against: entries that name nothing make a reply larger than is read, so that no host follows the store (review/7).
test('items that are dropped make no reply too large, and are held one at a time', () => {
	const item = JSON.stringify({key: 'a', value: 'x'.repeat(megabyte)});
	const {body, maxHeld} = readText(`{"items":[${Array.from({length: 40}, () => item).join(',')}],"at":1}`, {read: dropAll});
	expect(body).toEqual({items: [], at: 1});
	expect(maxHeld).toBeLessThan(4 * megabyte);
	const many = `{"items":[${Array.from({length: 300_000}, () => '{"key":"a"}').join(',')}]}`;
	expect(readText(many, {read: dropAll}).body).toEqual({items: []});
});

// Guards against: what is kept, what is no item, or what stands around the list exceeds the heap.
test('what is kept, and what is neither kept nor dropped, is limited as a reply is', () => {
	const read: ItemReader = item => typeof item === 'string' ? {kind: 'kept', item, bytes: item.length} : {kind: 'invalid'};
	const texts = [
		`{"items":[${Array.from({length: 9}, () => `"${'x'.repeat(megabyte)}"`).join(',')}]}`,
		`{"items":["${'x'.repeat(9 * megabyte)}"]}`,
		`{"items":[${'{},'.repeat(300_000)}{}]}`,
		`{"items":[[${'{},'.repeat(300_000)}{}]]}`,
		`{"items":[1],"more":"${'x'.repeat(9 * megabyte)}"}`,
		`{"items":[1],"more":[${'{},'.repeat(300_000)}{}]}`,
		`{"items":[1${' '.repeat(9 * megabyte)}]}`,
	];
	for (const text of texts) {
		expect(() => readText(text, {read})).toThrow(OversizedReplyError);
	}
});
