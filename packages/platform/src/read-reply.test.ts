import {createServer, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {gzipSync} from 'node:zlib';
import {createSystemClock} from '@gentianlift/clock';
import type {Milliseconds} from '@gentianlift/types';
import {expect, onTestFinished, test} from 'vitest';
import {createJsonClient} from './json-client.js';
import type {ReplyList} from './read-reply.js';
import {processReplyMemory} from './reply-memory.js';

const megabyte = 1024 * 1024;

/** A list whose items are all dropped. */
const droppedItems: ReplyList = {field: 'items', open: () => () => ({kind: 'dropped'})};

/** Starts a service that answers by a function, and a client of it. */
const startService = async (answer: (response: ServerResponse) => void, {timeout = 10_000, list}: {timeout?: Milliseconds; list?: ReplyList} = {}) => {
	const server = createServer((_, response) => {
		answer(response);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	const client = createJsonClient({
		url: `http://127.0.0.1:${port}`, clock: createSystemClock(), timeout, acceptsCompression: true,
	});
	onTestFinished(() => {
		client.close();
		server.close();
		server.closeAllConnections();
	});
	return async () => client.call({method: 'GET', path: '/', ...(list !== undefined && {list})});
};

const oversized = {kind: 'unknown', reason: 'reply-too-large', isOversized: true};

/** Text of a list with so many megabytes. */
const buildText = (megabytes: number): string => JSON.stringify(['x'.repeat(megabytes * megabyte)]);

// Guards against: a reply of some tens of megabytes ends the host, as its text and what is parsed from it exceed the heap.
test('a reply beyond the limit is given up, and the next one is read', async () => {
	const replies = [buildText(9), '[1]'];
	const call = await startService(response => {
		response.end(replies.shift());
	});
	expect(await call()).toEqual(oversized);
	expect(await call()).toMatchObject({kind: 'answered', body: [1]});
});

// Guards against: a service that writes without end holds the connection and the memory of the host until the timeout.
test('a reply without end is given up at the limit, and its connection closed', async () => {
	let written = 0;
	const isClosed = new Promise<void>((resolve, reject) => {
		startService(response => {
			const write = (): void => {
				written += megabyte;
				if (!response.destroyed) {
					response.write(' '.repeat(megabyte), write);
				}
			};

			response.once('close', resolve);
			write();
		}).then(async call => {
			expect(await call()).toEqual(oversized);
		}).catch(reject);
	});
	await isClosed;
	expect(written).toBeLessThan(64 * megabyte);
});

// Guards against: another host's reply of a few kilobytes expands to more than the heap.
test('a compressed reply is given up at the same limit', async () => {
	const replies = [gzipSync(buildText(40)), gzipSync('[2]')];
	const call = await startService(response => {
		response.writeHead(200, {'content-encoding': 'gzip'});
		response.end(replies.shift());
	});
	expect(await call()).toEqual(oversized);
	expect(await call()).toMatchObject({kind: 'answered', body: [2], size: {bytes: 3, values: 2}});
});

// Guards against: a reply of few bytes takes many times as much memory, as each of its values is an object.
test('a reply with too many values is given up before it is parsed', async () => {
	const replies = [`[${'{},'.repeat(1_000_000)}{}]`, `[${'[],'.repeat(1_000_000)}[]]`, `{"a":[${'0,'.repeat(1_000_000)}0]}`];
	const call = await startService(response => {
		response.end(replies.shift());
	});
	expect(await call()).toEqual(oversized);
	expect(await call()).toEqual(oversized);
	expect(await call()).toEqual(oversized);
});

test('syntax within texts counts as no value', async () => {
	const call = await startService(response => {
		response.end(JSON.stringify([String.raw`\",{[`.repeat(100_000), 1]));
	});
	expect(await call()).toMatchObject({kind: 'answered', size: {values: 3}});
});

// Guards against: a reply in chunks of few bytes takes many times as much memory, as each chunk is an object.
test('a reply in small chunks is read', async () => {
	const call = await startService(response => {
		for (const letter of buildText(0).padEnd(2000)) {
			response.write(letter);
		}

		response.end();
	});
	expect(await call()).toMatchObject({kind: 'answered', body: [''], size: {bytes: 2000}});
});

// Guards against: replies that are each within the limit exceed the heap together.
test('of many large replies at once, some are given up, and a small one beside them is read', async () => {
	const count = 12;
	let calls = 0;
	const waiting: ServerResponse[] = [];
	const call = await startService(response => {
		calls += 1;
		if (calls > count) {
			response.end('[3]');
			return;
		}

		response.write(' '.repeat(6 * megabyte));
		waiting.push(response);
	});
	const large = Array.from({length: count}, async () => call());
	await expect.poll(() => waiting.length).toBe(count);
	await expect.poll(() => waiting.filter(({destroyed}) => destroyed).length).toBeGreaterThan(count / 2);
	expect(await call()).toMatchObject({kind: 'answered', body: [3]});
	for (const response of waiting) {
		response.end('[4]');
	}

	const outcomes = await Promise.all(large);
	const reasons = outcomes.flatMap(outcome => outcome.kind === 'answered' ? [] : [outcome.reason]);
	expect(new Set(reasons)).toEqual(new Set(['reply-memory-exceeded']));
	expect(outcomes.filter(({kind}) => kind === 'answered').length).toBeGreaterThan(0);
});

/** Writes a text again and again until the connection is closed; resolves then. */
const writeEndlessly = async (response: ServerResponse, text: string): Promise<void> => new Promise(resolve => {
	const write = (): void => {
		if (!response.destroyed) {
			response.write(text, write);
		}
	};

	response.once('close', resolve);
	write();
});

// Guards against: a list without end holds the connection for ever, or the memory of the host, as what is dropped of it doesn't count.
test.each([
	// Only time ends what is dropped.
	['items that are dropped', `"${'x'.repeat(megabyte)}",`, 3000],
	['blanks', ' '.repeat(megabyte), 60_000],
	['one item', 'x'.repeat(megabyte), 60_000],
])('a list without end is given up, and its connection closed: %s', async (_, text, timeout) => {
	let ended: Promise<void> | undefined;
	let maxHeld = 0;
	const call = await startService(response => {
		response.write('{"items":["');
		response.write('",');
		ended = writeEndlessly(response, text);
	}, {timeout, list: droppedItems});
	const timer = setInterval(() => {
		maxHeld = Math.max(maxHeld, processReplyMemory.getHeldBytes());
	}, 5);
	onTestFinished(() => {
		clearInterval(timer);
	});
	expect(await call()).toMatchObject({kind: 'unknown', isOversized: true});
	await ended;
	expect(maxHeld).toBeLessThanOrEqual(8 * megabyte);
});

// Guards against: two large lists that arrive side by side give each other up, though nothing of them is kept.
test('large lists of which nothing is kept arrive side by side', async () => {
	const call = await startService(response => {
		response.end(JSON.stringify({items: Array.from({length: 30}, () => 'x'.repeat(megabyte))}));
	}, {list: droppedItems});
	const outcomes = await Promise.all([call(), call(), call()]);
	expect(outcomes).toEqual(outcomes.map(() => expect.objectContaining({kind: 'answered', body: {items: []}}) as unknown));
});
