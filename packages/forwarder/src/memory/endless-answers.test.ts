import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {expect, onTestFinished, test} from 'vitest';
import {
	answerOk, createHostStarter, upstreamMark, type AnswerHandler,
} from '../test-deployment.js';
import {sendRequest} from '../testing.js';
import {
	maxGrowth, measureGrowth, megabyte, sendSound,
} from './testing-growth.js';

const startHost = createHostStarter(onTestFinished);
const testTimeout = 30_000;
const chunked = 'Transfer-Encoding: chunked\r\n\r\n';
const eventHead = `Content-Type: text/event-stream\r\n${chunked}`;
const block = 'b'.repeat(16 * 1024);
const byteChunks = '1\r\nb\r\n'.repeat(2000);

/** Writes a text to a connection until it is closed. */
const flood = (socket: Socket, text: string): void => {
	const write = (): void => {
		while (!socket.destroyed && socket.write(text)) {
			// The socket's buffer isn't full yet.
		}
	};

	socket.on('drain', write);
	socket.on('error', () => undefined);
	write();
};

/** Returns a handler that answers sound requests, and others with a start and a text without end. */
const createFlooder = (head: string, text: string): AnswerHandler => (request, response) => {
	if (request.url === '/read/sound') {
		answerOk(request, response);
		return;
	}

	const {socket} = request;
	socket.write(`HTTP/1.1 200 OK\r\nSigned: 1\r\n${head}`);
	flood(socket, text);
};

// Guards against: each of many answers without end is kept up to its own limit, and the host runs out of memory with all its requests.
test.each([
	{name: 'no framing', head: '\r\n', text: block},
	{name: 'a length', head: 'Content-Length: 99999999999\r\n\r\n', text: block},
	{name: 'chunks', head: chunked, text: `4000\r\n${block}\r\n`},
	{
		name: 'chunks of a byte', head: chunked, text: byteChunks, count: 8,
	},
	{
		name: 'an event', path: '/stream/1', head: eventHead, text: `4000\r\n${block}\r\n`,
	},
	{
		name: 'an event in chunks of a byte', head: eventHead, text: byteChunks, count: 20,
	},
])('answers without end take the memory that a host has for answers, and no sound answer is lost: $name', async ({path = '/background/1', head, text, count = 60}) => {
	const {host} = await startHost(createFlooder(head, text));
	const sendFaulty = async (index: number) => sendRequest(host.port, {path, headers: {attempt: `f${index}`, timeout: '8000'}}).catch(() => undefined);
	let isDone = false;
	let statuses: number[] = [];
	const growth = await measureGrowth(async () => {
		const sound = sendSound(host.port, () => isDone);
		const answers = await Promise.all(Array.from({length: count}, async (_, index) => sendFaulty(index)));
		isDone = true;
		statuses = await sound;
		expect(answers.some(answer => answer?.status === 200 && answer.isComplete)).toBe(false);
	});
	expect(growth).toBeLessThan(maxGrowth);
	expect(new Set(statuses)).toEqual(new Set([200]));
}, testTimeout);

// Guards against: answers that their callers don't read are kept, whatever they add up to.
test('callers that do not read lose their answers before the host runs out of memory, and no other does', async () => {
	// The upstream, which is in the same process, has the bytes once.
	const bytes = Buffer.alloc(8 * megabyte, 'u');
	const {host} = await startHost((request, response) => {
		if (request.url === '/read/sound') {
			answerOk(request, response);
			return;
		}

		response.writeHead(200, {...upstreamMark, attempt: request.headers.attempt ?? ''});
		response.end(bytes);
	});
	let statuses: number[] = [];
	const growth = await measureGrowth(async () => {
		for (let index = 0; index < 40; index++) {
			const socket = connect({host: '127.0.0.1', port: host.port});
			socket.pause();
			socket.on('error', () => undefined);
			socket.write(`POST /background/1 HTTP/1.1\r\nHost: a\r\nAttempt: u${index}\r\nContent-Length: 0\r\n\r\n`);
			onTestFinished(() => {
				socket.destroy();
			});
		}

		const start = performance.now();
		statuses = await sendSound(host.port, () => performance.now() - start > 4000);
	});
	expect(growth).toBeLessThan(maxGrowth);
	expect(host.context.memory.getHeldBytes()).toBeLessThan(25 * megabyte);
	expect(new Set(statuses)).toEqual(new Set([200]));
	expect(host.logLines.some(line => line.includes('event=answer-released'))).toBe(true);
}, testTimeout);
