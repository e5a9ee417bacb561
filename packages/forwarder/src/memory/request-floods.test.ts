import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect, onTestFinished, test} from 'vitest';
import {
	answerOk, configuration, createHostStarter, type AnswerHandler,
} from '../test-deployment.js';
import {sendRequest, startTestHost} from '../testing.js';
import {
	maxGrowth, measureGrowth, megabyte, sendSound,
} from './testing-growth.js';

const startHost = createHostStarter(onTestFinished);
const testTimeout = 30_000;
/** Time for which floods are watched, in milliseconds. */
const floodTime = 3000;
/** Time, in milliseconds, by which the callers of a flood have been refused, however busy the machine is. */
const refusalTime = 15_000;
/** Bytes of requests that the test host may hold. */
const limit = 25_000_000;
const {maxBodyBytes} = configuration.limits;
const retryHeader = /Retry-After: [\d.]+\r\n/v;

/** A connection on which a request is sent by hand; `text` is what has been received. */
type RawCaller = {socket: Socket; text: string};

/** Opens a connection and sends a head with further header lines. */
const openCaller = (port: number, path: string, framing: string): RawCaller => {
	const socket = connect({host: '127.0.0.1', port});
	const caller = {socket, text: ''};
	socket.on('error', () => undefined);
	socket.on('data', (chunk: Uint8Array) => {
		caller.text += String(chunk);
	});
	socket.write(`POST ${path} HTTP/1.1\r\nHost: a\r\nAttempt: f${path}\r\nTimeout: 20000\r\n${framing}\r\n\r\n`);
	onTestFinished(() => {
		socket.destroy();
	});
	return caller;
};

/** Sends `count` requests that declare bodies of `size` bytes and send `sent` of them. */
const flood = (port: number, {count, size, sent}: {count: number; size: number; sent: number}): RawCaller[] => {
	const body = Buffer.alloc(sent, 'b');
	return Array.from({length: count}, (_, index) => {
		const caller = openCaller(port, `/background/${index}`, `Content-Length: ${size}`);
		caller.socket.write(body);
		return caller;
	});
};

/** Answers sound requests only. */
const answerSound: AnswerHandler = (request, response) => {
	if (request.url === '/read/sound') {
		answerOk(request, response);
	}
};

const countRefused = (callers: readonly RawCaller[]): number => callers.filter(({text}) => text.startsWith('HTTP/1.1 503') && retryHeader.test(text)).length;

// Guards against: bodies add up to more than the host's memory, and unfinished ones take the places of sound requests.
test.each([
	{
		name: 'whole, with silent upstreams', count: 300, size: maxBodyBytes, sent: maxBodyBytes,
	},
	{
		name: 'unfinished', count: 300, size: maxBodyBytes, sent: maxBodyBytes - 10,
	},
	{
		name: 'many small unfinished ones', count: 2000, size: 100_000, sent: 99_990,
	},
])('large bodies take the memory that a host has for requests, and no sound request is refused: $name', async ({count, size, sent}) => {
	const {host} = await startHost(answerSound);
	let statuses: number[] = [];
	let callers: RawCaller[] = [];
	const growth = await measureGrowth(async () => {
		callers = flood(host.port, {count, size, sent});
		const start = performance.now();
		statuses = await sendSound(host.port, () => performance.now() - start > floodTime);
	});
	expect(growth).toBeLessThan(maxGrowth);
	expect(host.context.bodies.getHeldBytes()).toBeLessThanOrEqual(limit);
	expect(new Set(statuses)).toEqual(new Set([200]));
	await expect.poll(() => countRefused(callers), {timeout: refusalTime}).toBeGreaterThan(count / 2);
	expect(host.logLines.some(line => line.includes('event=body-refused'))).toBe(true);
}, testTimeout);

// Guards against: small unfinished requests take all places for requests, and sound ones are refused.
test('more unfinished requests than a host has places for leave sound ones theirs', async () => {
	const {host} = await startHost(answerSound);
	for (let wave = 0; wave < 16; wave++) {
		flood(host.port, {count: 100, size: 100, sent: 90});
		// eslint-disable-next-line no-await-in-loop -- The queue of connections that wait to be accepted is short.
		await sleep(100);
	}

	const start = performance.now();
	const statuses = await sendSound(host.port, () => performance.now() - start > 500);
	expect(new Set(statuses)).toEqual(new Set([200]));
	expect(host.context.bodies.countUnfinished()).toBeLessThanOrEqual(1500);
	expect(host.logLines.some(line => line.includes('event=body-refused') && line.includes('reason=gave-way'))).toBe(true);
}, testTimeout);

// Guards against: a host that knows no configuration yet reads bodies without any limit.
test('a host without a configuration gives up endless bodies', async () => {
	const host = await startTestHost(undefined);
	onTestFinished(host.close);
	const chunk = Buffer.concat([Buffer.from('10000\r\n'), Buffer.alloc(0x1_00_00, 'b'), Buffer.from('\r\n')]);
	let callers: RawCaller[] = [];
	const growth = await measureGrowth(async () => {
		callers = Array.from({length: 8}, (_, index) => openCaller(host.port, `/read/${index}`, 'Transfer-Encoding: chunked'));
		for (const {socket} of callers) {
			const write = (): void => {
				while (!socket.destroyed && socket.write(chunk)) {
					// The socket's buffer isn't full yet.
				}
			};

			socket.on('drain', write);
			write();
		}

		await sleep(floodTime);
	});
	expect(growth).toBeLessThan(maxGrowth);
	await expect.poll(() => countRefused(callers), {timeout: refusalTime}).toBe(callers.length);
	await expect.poll(() => callers.every(({socket}) => socket.destroyed), {timeout: refusalTime}).toBe(true);
}, testTimeout);

// Guards against: a caller whose body is refused loses the answer, as its connection is reset before it has sent all.
test('a caller gets the refusal of a body that was not read', async () => {
	const {host} = await startHost(answerSound);
	const answer = await sendRequest(host.port, {path: '/read/1', body: 'b'.repeat(8 * megabyte)});
	expect(answer).toMatchObject({status: 413, isComplete: true, headers: {connection: 'close'}});
});

// Guards against: the body of a booking that is accepted is given up for requests that come later.
test('a booking that runs keeps its body and its answer beside a flood', async () => {
	let answer = (): void => undefined;
	let received = 0;
	const {host, counts} = await startHost((request, response) => {
		if (request.url !== '/book/1') {
			return;
		}

		request.on('data', (chunk: Uint8Array) => {
			received += chunk.length;
		});
		answer = () => {
			answerOk(request, response);
		};
	});
	const booking = sendRequest(host.port, {path: '/book/1', headers: {attempt: 'b'}, body: 'b'.repeat(maxBodyBytes)});
	await expect.poll(() => received).toBe(maxBodyBytes);
	flood(host.port, {count: 100, size: maxBodyBytes, sent: maxBodyBytes});
	await expect.poll(() => host.context.metrics.getValue('bodies_refused_total', {reason: 'bytes'})).toBeGreaterThan(0);
	answer();
	const {status} = await booking;
	expect(status).toBe(200);
	expect(counts[0]).toBeGreaterThan(0);
}, testTimeout);

// Guards against: the account keeps what calls no longer need, until a host refuses all bodies.
test('bodies are let go of when their calls have ended', async () => {
	const {host} = await startHost(answerOk);
	for (let sent = 0; sent < 60; sent++) {
		// eslint-disable-next-line no-await-in-loop -- Requests are sent one at a time.
		const {status} = await sendRequest(host.port, {path: '/read/1', body: 'b'.repeat(maxBodyBytes)});
		expect(status).toBe(200);
	}

	expect(host.context.bodies.getHeldBytes()).toBe(0);
}, testTimeout);
