import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {buildConfiguration, buildRoute} from '@gentianlift/routing/testing';
import {expect, onTestFinished, test} from 'vitest';
import {answerOk, type AnswerHandler} from '../test-deployment.js';
import {sendRequest, startTestHost, startUpstream} from '../testing.js';

/** Time to send the head of a request, and a time after which the host has looked for connections that exceed it. */
const headerTimeout = 300;
const freeze = 1600;
const configuration = buildConfiguration({
	routes: [buildRoute({
		name: 'book', pathPrefix: '/book/', kind: 'non-idempotent', maxUpstreams: 1, timeout: 5000,
	})],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeout, idleTimeout: 15_000,
	},
});
const head = 'POST /book/1 HTTP/1.1\r\nHost: a\r\nAttempt: a1\r\nContent-Length: 4\r\n\r\n';

/** Starts a host that goes by the limits, with one upstream; returns its port and the paths that the upstream has run. */
const startHost = async (answer: AnswerHandler = answerOk) => {
	const ran: string[] = [];
	const host = await startTestHost(configuration);
	const {upstream, server} = await startUpstream('u0', (request, response) => {
		ran.push(request.url ?? '');
		answer(request, response);
	});
	host.setUpstreams([upstream]);
	onTestFinished(() => {
		host.close();
		server.close();
		server.closeAllConnections();
	});
	await sendRequest(host.port, {path: '/book/first', headers: {attempt: 'a0'}});
	ran.length = 0;
	return {host, ran};
};

/** Opens a connection as a caller; the text that it has received grows. */
const openConnection = async (port: number): Promise<{socket: Socket; received: {text: string; isClosed: boolean}}> => {
	const socket = connect({host: '127.0.0.1', port});
	const received = {text: '', isClosed: false};
	socket.setEncoding('utf8');
	socket.on('data', (text: string) => {
		received.text += text;
	});
	socket.on('error', () => undefined);
	socket.on('close', () => {
		received.isClosed = true;
	});
	onTestFinished(() => {
		socket.destroy();
	});
	await once(socket, 'connect');
	// The host accepts the connection.
	await sleep(50);
	return {socket, received};
};

/** Keeps the process, and so the host, from doing anything for a time. */
const freezeProcess = (duration: number): void => {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, duration);
};

const getStatuses = (text: string): number[] => [...text.matchAll(/HTTP\/1\.1 (\d{3})/gv)].map(([, status]) => Number(status));

// Guards against: a request that arrives while its host is frozen is answered 408, which promises that it doesn't run, and runs.
test('a request that has arrived when a frozen host wakes gets one answer, which is its own', async () => {
	const {host, ran} = await startHost();
	const {socket, received} = await openConnection(host.port);
	socket.write(`${head}body`);
	freezeProcess(freeze);
	await expect.poll(() => received.text).toContain('HTTP/1.1');
	await sleep(300);
	expect(getStatuses(received.text)).toEqual([200]);
	expect(ran).toEqual(['/book/1']);
});

// Guards against: a request whose head comes after the 408 that its connection has got runs.
test('a request that comes after 408 on its connection does not run', async () => {
	const {host, ran} = await startHost();
	const {socket, received} = await openConnection(host.port);
	await expect.poll(() => received.text, {timeout: 4000}).toContain('HTTP/1.1 408');
	socket.write(`${head}body`);
	await sleep(300);
	expect(getStatuses(received.text)).toEqual([408]);
	expect(ran).toEqual([]);
	await expect.poll(() => received.isClosed, {timeout: 4000}).toBe(true);
});

// Guards against: the error of bytes that follow a request is taken for the answer to it.
test.each([
	['bytes that are no request', 'no request\r\n\r\n'],
	['a head that is too large', `GET /book/2 HTTP/1.1\r\nX-A: ${'b'.repeat(70_000)}`],
])('a request keeps its own answer though an error follows on its connection: %s', async (_, text) => {
	const {host, ran} = await startHost((request, response) => {
		setTimeout(() => {
			answerOk(request, response);
		}, 300);
	});
	const {socket, received} = await openConnection(host.port);
	socket.write(`${head}body`);
	await expect.poll(() => ran).toEqual(['/book/1']);
	socket.write(text);
	await expect.poll(() => received.isClosed, {timeout: 4000}).toBe(true);
	expect(getStatuses(received.text)).toEqual([200]);
	expect(received.text.endsWith('ok')).toBe(true);
	expect(ran).toEqual(['/book/1']);
});

// Guards against: a request is answered with an error for its body, and runs once the rest of the body has come.
test('a request whose body is malformed gets one error and does not run', async () => {
	const {host, ran} = await startHost();
	const {socket, received} = await openConnection(host.port);
	socket.write('POST /book/1 HTTP/1.1\r\nHost: a\r\nAttempt: a1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n');
	await sleep(50);
	socket.write('zz\r\n');
	await expect.poll(() => received.text).toContain('HTTP/1.1');
	socket.write('0\r\n\r\n');
	await expect.poll(() => received.isClosed, {timeout: 4000}).toBe(true);
	expect(getStatuses(received.text)).toEqual([400]);
	expect(ran).toEqual([]);
});

// Guards against: a CONNECT behind a booking ends the connection over it, and the booking runs without an answer.
test('a request is answered although a CONNECT follows it on its connection', async () => {
	const {host, ran} = await startHost((request, response) => {
		setTimeout(() => {
			answerOk(request, response);
		}, headerTimeout);
	});
	const {socket, received} = await openConnection(host.port);
	socket.write(`${head}bodyCONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n`);
	await expect.poll(() => received.isClosed).toBe(true);
	expect(received.text).toMatch(/^HTTP\/1\.1 200 /v);
	expect(ran).toEqual(['/book/1']);
});

test('a CONNECT alone is refused', async () => {
	const {host} = await startHost();
	const {socket, received} = await openConnection(host.port);
	socket.write('CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n');
	await expect.poll(() => received.isClosed).toBe(true);
	expect(received.text).toMatch(/^HTTP\/1\.1 400 Bad Request\r\nConnection: close/v);
});
