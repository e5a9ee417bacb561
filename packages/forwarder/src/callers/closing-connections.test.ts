import {once} from 'node:events';
import type {Server} from 'node:http';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {createManualClock} from '@gentianlift/clock';
import {createLogger} from '@gentianlift/logger';
import {createMetrics} from '@gentianlift/metrics';
import {expect, onTestFinished, test} from 'vitest';
import {
	answerOk, createHostStarter, upstreamMark, type AnswerHandler,
} from '../test-deployment.js';
import {listenOnAnyPort} from '../testing.js';
import {createCallerConnections} from './caller-connections.js';
import {
	createClosingConnections, deliveryTime, lingerTime, maxClosingConnections,
} from './closing-connections.js';
import {createHttpServer} from './http-server.js';
import {openSlowLink} from './testing-slow-link.js';

const testTimeout = 20_000;
const connections = 20;
/** More than the systems of host and caller buffer for a caller that doesn't read, less than what they take of an answer at once. */
const answerBytes = 1_000_000;
/** Time that the upstream works on a request, time after which a caller begins to read, and delay of a slow link. */
const workTime = 300;
const readingDelay = 800;
const linkDelay = 300;

const startHost = createHostStarter(onTestFinished);

const answerLate = (body: string): AnswerHandler => (request, response) => {
	request.resume();
	setTimeout(() => {
		response.writeHead(200, {...upstreamMark, attempt: request.headers.attempt ?? ''});
		response.end(body);
	}, workTime);
};

const buildRequest = (path: string, body = 'b', fields = ''): string =>
	`POST ${path} HTTP/1.1\r\nHost: a\r\nAttempt: ${path}\r\nContent-Length: ${body.length}\r\n${fields}\r\n${body}`;

/** Opens a connection that isn't read yet. */
const openConnection = async (port: number): Promise<Socket> => {
	const socket = connect({host: '127.0.0.1', port});
	socket.on('error', () => undefined);
	onTestFinished(() => {
		socket.destroy();
	});
	await once(socket, 'connect');
	return socket;
};

const openConnections = async (port: number, count: number): Promise<Socket[]> =>
	Promise.all(Array.from({length: count}, async () => openConnection(port)));

/** Reads a connection to its end. */
const readAll = async (socket: Socket): Promise<string> => {
	let text = '';
	socket.setEncoding('latin1');
	socket.on('data', (chunk: string) => {
		text += chunk;
	});
	await new Promise<void>(resolve => {
		socket.once('close', () => {
			resolve();
		});
	});
	return text;
};

/** Returns the status of the first answer of a connection, and how much of its body has come. */
const describeAnswer = (text: string): {status: number; bytes: number} => {
	const [head = ''] = text.split('\r\n\r\n', 1);
	const [, length] = /content-length: (\d+)/iv.exec(head) ?? [];
	const rest = text.slice(head.length + '\r\n\r\n'.length);
	return {status: Number(head.split(' ')[1]), bytes: rest.slice(0, Number(length)).length};
};

const behind = buildRequest('/book/behind');
const longBehind = buildRequest('/book/behind', 'b'.repeat(answerBytes));

// Guards against: a connection that is closed after an answer is reset by what its caller sends behind, and the rest of the answer is lost.
test.each([
	['a request that waits', behind, ''],
	['a request that comes after the close', '', behind],
	['a body that is not read', longBehind, ''],
	['more requests than are read ahead', behind.repeat(20), behind],
	['bytes that are no request', '', 'no request\r\n\r\n'],
])('an answer arrives whole though its caller reads late, and the connection closes behind it: %s', async (_, ahead, after) => {
	const {host, counts} = await startHost(...Array.from({length: 3}, () => answerLate('b'.repeat(answerBytes))));
	const sockets = await openConnections(host.port, connections);
	for (const socket of sockets) {
		socket.write(buildRequest('/book/first') + ahead);
	}

	await expect.poll(() => counts.reduce((sum, count) => sum + count)).toBe(connections);
	host.setStopping(true);
	await sleep(readingDelay);
	for (const socket of sockets) {
		socket.write(after);
	}

	const texts = await Promise.all(sockets.map(async socket => readAll(socket)));
	expect(texts.map(text => describeAnswer(text))).toEqual(texts.map(() => ({status: 200, bytes: answerBytes})));
	expect(counts.reduce((sum, count) => sum + count)).toBe(connections);
}, testTimeout);

// Guards against: an answer that is under way on a slow link is lost as the host resets the connection.
test('the last answer of a connection arrives over a slow link though a request comes behind it', async () => {
	const {host, counts} = await startHost(...Array.from({length: 3}, () => answerLate('ok')));
	const link = await openSlowLink(host.port, linkDelay);
	onTestFinished(link.close);
	const sockets = await openConnections(link.port, connections);
	const answers = Promise.all(sockets.map(async socket => readAll(socket)));
	for (const socket of sockets) {
		socket.write(buildRequest('/book/first'));
	}

	await expect.poll(() => counts.reduce((sum, count) => sum + count)).toBe(connections);
	host.setStopping(true);
	await sleep(workTime + (linkDelay / 2));
	// The first part shows the link that the host has closed, the second one that it has reset the connection.
	for (const part of [behind.slice(0, 10), behind.slice(10)]) {
		for (const socket of sockets) {
			socket.write(part);
		}

		// eslint-disable-next-line no-await-in-loop -- The parts are sent one after the other.
		await sleep(linkDelay / 10);
	}

	const texts = await answers;
	expect(texts.map(text => describeAnswer(text))).toEqual(texts.map(() => ({status: 200, bytes: 2})));
}, testTimeout);

// Guards against: a refusal whose request is still arriving is lost as the host resets the connection, and its caller doesn't know that it may send the request again.
test('the refusal of a stopping host arrives over a slow link though the body is still being sent', async () => {
	const {host} = await startHost(answerOk);
	host.setStopping(true);
	const link = await openSlowLink(host.port, linkDelay);
	onTestFinished(link.close);
	const sockets = await openConnections(link.port, connections);
	const answers = Promise.all(sockets.map(async socket => readAll(socket)));
	for (const socket of sockets) {
		socket.write('POST /book/1 HTTP/1.1\r\nHost: a\r\nAttempt: a1\r\nContent-Length: 50000000\r\n\r\n');
	}

	for (let sent = 0; sent < 10; sent++) {
		// eslint-disable-next-line no-await-in-loop -- The body is sent in parts.
		await sleep(linkDelay / 10);
		for (const socket of sockets) {
			socket.write('b'.repeat(10_000));
		}
	}

	const texts = await answers;
	expect(texts.map(text => describeAnswer(text).status)).toEqual(texts.map(() => 413));
}, testTimeout);

/** Starts a server that closes each connection after its first answer; `requests` has the paths that it was asked for. */
const startClosingServer = async () => {
	const clock = createManualClock();
	const requests: string[] = [];
	const callers = createCallerConnections({
		clock, logger: createLogger('info', () => undefined), metrics: createMetrics(), isStopping: () => false, answerPartial: () => undefined,
	});
	const server: Server = createHttpServer((request, response) => {
		requests.push(request.url ?? '');
		callers.accept(request, response);
		response.writeHead(200, {connection: 'close'});
		response.end('ok');
	});
	const port = await listenOnAnyPort(server);
	onTestFinished(() => {
		server.close();
		server.closeAllConnections();
	});
	return {
		clock, requests, callers, port,
	};
};

/** Opens a connection that its caller doesn't close when the host does, and sends a request. */
const openStaying = async (port: number): Promise<Socket> => {
	const socket = connect({host: '127.0.0.1', port, allowHalfOpen: true});
	socket.on('error', () => undefined);
	socket.resume();
	onTestFinished(() => {
		socket.destroy();
	});
	await once(socket, 'connect');
	socket.write('GET /first HTTP/1.1\r\nHost: a\r\n\r\n');
	await once(socket, 'end');
	return socket;
};

// Guards against: callers that don't close their connections keep those of the host open for good.
test('a connection that its caller does not close is closed after a time', async () => {
	const {clock, callers, port} = await startClosingServer();
	await openStaying(port);
	await clock.advance(lingerTime - 1);
	expect(callers.countClosing()).toBe(1);
	await clock.advance(1);
	await expect.poll(() => callers.countClosing()).toBe(0);
});

// Guards against: connections that wait for their callers take all descriptors of the host.
test('of the connections that wait for their callers, the oldest are closed beyond a limit', async () => {
	const {callers, port} = await startClosingServer();
	for (let opened = 0; opened < maxClosingConnections + 10; opened++) {
		// eslint-disable-next-line no-await-in-loop -- Connections are ended in order.
		await openStaying(port);
	}

	expect(callers.countClosing()).toBe(maxClosingConnections);
}, testTimeout);

// Guards against: what is sent after the last answer is parsed, and takes memory for each request.
test('nothing that is sent after the last answer of a connection is parsed', async () => {
	const {requests, callers, port} = await startClosingServer();
	const socket = await openStaying(port);
	socket.write('GET /behind HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(1000));
	await sleep(100);
	expect(requests).toEqual(['/first']);
	expect(callers.countClosing()).toBe(1);
	socket.end();
	await expect.poll(() => callers.countClosing()).toBe(0);
});

// Guards against: a process ends while the last answer of a connection is on its way, and the end resets the connection.
test('a connection counts as delivering for a time after its end', async () => {
	const {host: {port}} = await startHost(answerOk);
	const sockets = await openConnections(port, 2);
	const clock = createManualClock();
	const closing = createClosingConnections({clock, metrics: createMetrics()});
	for (const socket of sockets) {
		closing.end(socket);
	}

	expect(closing.countDelivering()).toBe(2);
	await clock.advance(deliveryTime);
	expect(closing.countDelivering()).toBe(0);
});

test('a connection that its caller has closed is delivering no more', async () => {
	const {host: {port}} = await startHost(answerOk);
	const [socket] = await openConnections(port, 1);
	const closing = createClosingConnections({clock: createManualClock(), metrics: createMetrics()});
	closing.end(socket!);
	expect(closing.countDelivering()).toBe(1);
	socket!.destroy();
	await expect.poll(closing.countDelivering).toBe(0);
});
