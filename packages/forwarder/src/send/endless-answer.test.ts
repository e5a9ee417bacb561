import type {NetConnectOpts, Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect, onTestFinished, test} from 'vitest';
import {createHostStarter, type AnswerHandler} from '../test-deployment.js';
import {sendRequest} from '../testing.js';
import type {SendOutcome} from './send.js';
import {call, createSocketServerStarter} from './testing-send.js';
import {UpstreamAgent} from './upstream-agent.js';

const startUpstream = createSocketServerStarter(onTestFinished);
const startHost = createHostStarter(onTestFinished);

/** Longest time in milliseconds until a connection that delivers bytes without end is closed; before the deadlines of the requests, which are 5 s and more. */
const maxOpenTime = 4000;
const testTimeout = 10_000;
/** Bytes that may be read of an answer that isn't one: two reads of 64 KB, and what one more read delivers. */
const maxHeadBytes = 192 * 1024;
const blockBytes = 16 * 1024;

/** Writes a text again and again until the connection is closed; `end` is called then. */
const flood = (socket: Socket, text: string, end: () => void = () => undefined): void => {
	const block = text.repeat(Math.ceil(blockBytes / text.length));
	const write = (): void => {
		while (!socket.destroyed && socket.write(block)) {
			// The socket's buffer isn't full yet.
		}
	};

	socket.on('drain', write);
	socket.once('close', end);
	socket.on('error', () => undefined);
	write();
};

/** Pool that shows how many bytes its connection has read. */
class CountingAgent extends UpstreamAgent {
	socket: Socket | undefined;

	override createConnection(options: NetConnectOpts): Socket {
		this.socket = super.createConnection(options);
		return this.socket;
	}
}

/** Sends a request to an upstream that writes a start and then a text without end; returns the outcome, whether the connection was closed in time, and the bytes read. */
const callFlooding = async (start: string, text: string): Promise<{outcome: SendOutcome | 'none'; isClosed: boolean; bytesRead: number}> => {
	let markClosed = (): void => undefined;
	const closed = new Promise<boolean>(resolve => {
		markClosed = () => {
			resolve(true);
		};
	});
	const server = await startUpstream(socket => {
		socket.write(start);
		flood(socket, text, markClosed);
	});
	const agent = new CountingAgent();
	onTestFinished(() => {
		agent.destroy();
	});
	const outcome = await Promise.race([call(server, agent), sleep(maxOpenTime, 'none' as const)]);
	const isClosed = await Promise.race([closed, sleep(maxOpenTime, false)]);
	return {outcome, isClosed, bytesRead: agent.socket?.bytesRead ?? 0};
};

// Guards against: bytes that are no answer are read until the deadline of the request.
test.each([
	['header lines', 'HTTP/1.1 200 OK\r\n', 'X-A: b\r\n'],
	['one header', 'HTTP/1.1 200 OK\r\nX-A: ', 'b'],
	['a reason', 'HTTP/1.1 200 ', 'b'],
	['informational answers', '', 'HTTP/1.1 103 Early Hints\r\n\r\n'],
	['blank lines', '', '\r\n'],
	['letters', '', 'b'],
])('a head without end closes the connection: %s', async (_, start, text) => {
	const {outcome, isClosed, bytesRead} = await callFlooding(start, text);
	expect(outcome).toMatchObject({kind: 'broken'});
	expect(isClosed).toBe(true);
	expect(bytesRead).toBeLessThan(maxHeadBytes);
}, testTimeout);

// Guards against: the body of a rejection is read as long as its upstream sends.
test('a rejection whose body has no end closes the connection', async () => {
	const {outcome, isClosed} = await callFlooding('HTTP/1.1 421 Misdirected Request\r\nAttempt: a1\r\n\r\n', 'b');
	expect(outcome).toMatchObject({kind: 'rejected'});
	expect(isClosed).toBe(true);
}, testTimeout);

const chunked = 'Transfer-Encoding: chunked\r\n\r\n';

/** Returns a handler that begins an answer and floods its body, and whether its connection was closed. */
const createFlooder = (head: string, text: string): {answer: AnswerHandler; isClosed: () => boolean} => {
	let isClosed = false;
	return {
		answer({socket}) {
			socket.write(`HTTP/1.1 200 OK\r\nSigned: 1\r\n${head}`);
			flood(socket, text, () => {
				isClosed = true;
			});
		},
		isClosed: () => isClosed,
	};
};

/** Returns the answer to a request, or `none` if there is none in time. */
const getAnswer = async (port: number, path: string) => Promise.race([
	sendRequest(port, {path, headers: {attempt: 'a1'}}),
	sleep(maxOpenTime, 'none' as const),
]);

// Guards against: a buffered answer above the size limit is read until the caller's deadline.
test.each([
	['no framing', '\r\n', 'b'],
	['chunks', chunked, `400\r\n${'b'.repeat(1024)}\r\n`],
	['a chunk extension', `${chunked}1;x=`, 'b'],
	['trailers', `${chunked}0\r\n`, 'X-A: b\r\n'],
])('a buffered body without end is an error, and its connection is closed: %s', async (_, head, text) => {
	const {answer, isClosed} = createFlooder(head, text);
	const {host} = await startHost(answer);
	expect(await getAnswer(host.port, '/background/1')).toMatchObject({status: 502});
	await expect.poll(isClosed, {timeout: maxOpenTime}).toBe(true);
}, testTimeout);

// Guards against: a stream whose event doesn't end is buffered without bound, or passed on until the caller's deadline.
test.each([
	['/background/1', 'no framing', '\r\n', 'b'],
	['/stream/1', 'no framing', '\r\n', 'b'],
	['/background/1', 'a chunk extension', `${chunked}1;x=`, 'b'],
	['/stream/1', 'chunks', chunked, '4\r\nbbbb\r\n'],
])('a stream whose event has no end is not whole, and its connection is closed: %s, %s', async (path, _, head, text) => {
	const {answer, isClosed} = createFlooder(`Content-Type: text/event-stream\r\n${head}`, text);
	const {host} = await startHost(answer);
	const received = await getAnswer(host.port, path);
	expect(received === 'none' || (received.status === 200 && received.isComplete)).toBe(false);
	await expect.poll(isClosed, {timeout: maxOpenTime}).toBe(true);
}, testTimeout);
