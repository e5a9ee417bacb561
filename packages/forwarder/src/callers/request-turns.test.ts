import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {buildConfiguration, buildRoute} from '@gentianlift/routing/testing';
import {expect, onTestFinished, test} from 'vitest';
import {answerOk, type AnswerHandler} from '../test-deployment.js';
import {
	listenOnAnyPort, sendRequest, startTestHost, startUpstream,
} from '../testing.js';
import {createCallerServer} from './serve-callers.js';

const configuration = buildConfiguration({
	routes: [buildRoute({
		name: 'look', pathPrefix: '/look/', kind: 'idempotent', maxUpstreams: 1, timeout: 5000,
	})],
});

/** Starts a host with an upstream; `running` has the paths that the upstream is working on, `ran` those that it has begun. */
const startHost = async (answer: AnswerHandler) => {
	const ran: string[] = [];
	const running = new Set<string>();
	let mostRunning = 0;
	const host = await startTestHost(configuration);
	const {upstream, server} = await startUpstream('u0', (request, response) => {
		const path = request.url ?? '';
		ran.push(path);
		running.add(path);
		mostRunning = Math.max(mostRunning, running.size);
		response.on('close', () => {
			running.delete(path);
		});
		answer(request, response);
	});
	host.setUpstreams([upstream]);
	onTestFinished(() => {
		host.close();
		server.close();
		server.closeAllConnections();
	});
	return {
		host, ran, running, getMostRunning: () => mostRunning,
	};
};

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
	return {socket, received};
};

/** Requests of a pipeline, numbered from 0. */
const buildRequests = (count: number): string[] =>
	Array.from({length: count}, (_, index) => `GET /look/${index} HTTP/1.1\r\nHost: a\r\nAttempt: a${index}\r\n\r\n`);

const getPaths = (count: number): string[] => Array.from({length: count}, (_, index) => `/look/${index}`);

const countAnswers = (text: string, status: number): number => text.split(`HTTP/1.1 ${status}`).length - 1;

const answerAfter = (delay: number): AnswerHandler => (request, response) => {
	setTimeout(() => {
		answerOk(request, response);
	}, delay);
};

const neverAnswer: AnswerHandler = () => undefined;

// Guards against: a connection on which many requests are sent ahead takes the places and the processor time of other callers.
test('requests that are sent ahead on a connection are handled one at a time, in order', async () => {
	const {host, ran, getMostRunning} = await startHost(answerAfter(5));
	const {socket, received} = await openConnection(host.port);
	socket.write(buildRequests(50).join(''));
	await expect.poll(() => countAnswers(received.text, 200), {timeout: 4000}).toBe(50);
	expect(ran).toEqual(getPaths(50));
	expect(getMostRunning()).toBe(1);
});

// Guards against: requests that can't be answered before an earlier one count among those that a host handles, so that it refuses other callers.
test('requests that are sent ahead refuse no other caller', async () => {
	const {host} = await startHost((request, response) => {
		if (request.url === '/look/other') {
			answerOk(request, response);
		}
	});
	for (let number = 0; number < 4; number++) {
		// eslint-disable-next-line no-await-in-loop -- Connections are opened one at a time.
		const {socket} = await openConnection(host.port);
		socket.write(buildRequests(500).join(''));
	}

	await sleep(300);
	const {status} = await sendRequest(host.port, {path: '/look/other'});
	expect(status).toBe(200);
});

// Guards against: a caller that closes leaves its upstream at work because later requests of the connection wait.
test('a close of the caller is noticed while requests wait for their turn', async () => {
	const {host, ran, running} = await startHost(neverAnswer);
	const {socket} = await openConnection(host.port);
	socket.write(buildRequests(8).join(''));
	await expect.poll(() => [...running]).toEqual(['/look/0']);
	socket.end();
	await expect.poll(() => running.size, {timeout: 500}).toBe(0);
	await sleep(100);
	expect(ran).toEqual(['/look/0']);
});

// Guards against: a request behind an answer that closes the connection runs, and its answer is lost.
test('no request runs behind one whose answer closes the connection', async () => {
	const {host, ran} = await startHost(answerOk);
	const {socket, received} = await openConnection(host.port);
	const [first = '', second = ''] = buildRequests(2);
	socket.write(first.replace('\r\n\r\n', '\r\nConnection: close\r\n\r\n') + second);
	await expect.poll(() => received.isClosed).toBe(true);
	expect(countAnswers(received.text, 200)).toBe(1);
	await sleep(100);
	expect(ran).toEqual(['/look/0']);
});

// Guards against: the first answer of a connection that is given up closes it before the answers of the other requests.
test('each request before bytes that are no request gets its answer', async () => {
	const {host, ran} = await startHost(answerAfter(20));
	const {socket, received} = await openConnection(host.port);
	socket.write(buildRequests(5).join('') + 'no request\r\n\r\n');
	await expect.poll(() => received.isClosed, {timeout: 4000}).toBe(true);
	expect(countAnswers(received.text, 200)).toBe(5);
	expect(ran).toEqual(getPaths(5));
});

// Guards against: bodies of requests that wait are lost, or never read.
test('requests with bodies that are sent ahead keep them', async () => {
	const bodies: number[] = [];
	const {host} = await startHost((request, response) => {
		let length = 0;
		request.on('data', (chunk: Uint8Array) => {
			length += chunk.length;
		});
		request.on('end', () => {
			bodies.push(length);
			answerOk(request, response);
		});
	});
	const {socket, received} = await openConnection(host.port);
	const sizes = [200_000, 1, 70_000, 0, 300_000];
	for (const [index, size] of sizes.entries()) {
		socket.write(`POST /look/${index} HTTP/1.1\r\nHost: a\r\nAttempt: a${index}\r\nContent-Length: ${size}\r\n\r\n${'b'.repeat(size)}`);
	}

	await expect.poll(() => countAnswers(received.text, 200), {timeout: 4000}).toBe(5);
	expect(bodies).toEqual(sizes);
});

// Guards against: requests that are sent ahead take memory without bound.
test('of the connections on which requests wait, the longest are closed when too many wait', async () => {
	const {host, running} = await startHost(neverAnswer);
	const modest = await openConnection(host.port);
	modest.socket.write(buildRequests(3).join(''));
	await expect.poll(() => running.size).toBe(1);
	const greedy = await Promise.all(Array.from({length: 10}, async () => openConnection(host.port)));
	for (const {socket} of greedy) {
		socket.write('GET /look/g HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(2000));
	}

	await expect.poll(() => greedy.filter(({received}) => received.isClosed).length, {timeout: 4000}).toBeGreaterThanOrEqual(3);
	expect(modest.received.isClosed).toBe(false);
	expect(host.logLines.join('\n')).toContain('event=pipeline-closed');
});

// Guards against: a request whose time is over when its turn comes takes a connection to an upstream, and processor time for nothing.
test('a request whose time is over when its turn comes is refused as not run', async () => {
	const {host, ran} = await startHost(answerAfter(400));
	const {socket, received} = await openConnection(host.port);
	const [first = '', second = ''] = buildRequests(2);
	socket.write(first + second.replace('\r\n\r\n', '\r\nTimeout: 200\r\n\r\n'));
	await expect.poll(() => countAnswers(received.text, 503)).toBe(1);
	expect(countAnswers(received.text, 200)).toBe(1);
	await sleep(100);
	expect(ran).toEqual(['/look/0']);
	expect(host.logLines.join('\n')).toMatch(/event=call-ended request=a1 .*sends=0 outcome=timeout/v);
	expect(host.logLines.join('\n')).not.toMatch(/event=call-ended request=a1 .*upstream=/v);
});

// Guards against: an error of a response whose request still waits, as when the host answers it at its stop, is an uncaught one.
test('an error of the response of a waiting request is caught', async () => {
	const {host} = await startHost(neverAnswer);
	const {server} = createCallerServer({context: host.context, forwarder: host.forwarder});
	const responses: ServerResponse[] = [];
	server.on('request', (_request, response: ServerResponse) => {
		responses.push(response);
	});
	const port = await listenOnAnyPort(server);
	onTestFinished(() => {
		server.close();
		server.closeAllConnections();
	});
	const {socket} = await openConnection(port);
	socket.write(buildRequests(2).join(''));
	await expect.poll(() => responses.length).toBe(2);
	expect(() => responses[1]!.emit('error', new Error('write after destroy'))).not.toThrow();
});
