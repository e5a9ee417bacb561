import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {createRandom, type Random} from '@gentianlift/clock';
import {splitAddress, type Address} from '@gentianlift/types';
import {expect, onTestFinished, test} from 'vitest';
import {startLinkedFleet} from '../links/testing-partition.js';
import {
	answerOk, configuration, upstreamMark, type AnswerHandler,
} from '../test-deployment.js';

const testTimeout = 20_000;
const longGracePeriod = 8000;
const shortGracePeriod = 1500;
const connections = 20;
/** Time that the upstream works on a request, and time by which the answers of a pipeline have arrived. */
const workTime = 300;
const arrivalTime = 2500;
/** Time by which the host has answered all requests of a connection that it refuses itself, and one behind them would run. */
const refusalTime = 800;

/** Size of an answer that isn't written completely while its caller doesn't read, and the number of those for which a host has room. */
const largeBytes = 8_000_000;
const largeAnswers = 2;

const answerLarge: AnswerHandler = (request, response) => {
	response.writeHead(200, {...upstreamMark, attempt: request.headers.attempt ?? ''});
	response.end('b'.repeat(largeBytes));
};

/** Starts a host with upstreams for all connections of a test; `ran` has the paths that they have begun to work on. */
const startHost = async (answerRequest: AnswerHandler = answerOk, gracePeriod = longGracePeriod) => {
	const ran: string[] = [];
	const answer: AnswerHandler = (request, response) => {
		ran.push(request.url ?? '');
		request.resume();
		setTimeout(() => {
			answerRequest(request, response);
		}, workTime);
	};

	const {hosts: [host]} = await startLinkedFleet({
		hosts: 1, upstreams: [answer, answer, answer], configuration, gracePeriod, onFinished: onTestFinished,
	});
	return {host: host!, ran};
};

/** Sends bytes on a connection of their own; the text that it has received grows. */
const sendBytes = async (address: Address, bytes: string): Promise<{socket: Socket; text: string}> => {
	const socket = connect(splitAddress(address));
	const received = {socket, text: ''};
	socket.setEncoding('latin1');
	socket.on('data', (text: string) => {
		received.text += text;
	});
	socket.on('error', () => undefined);
	onTestFinished(() => {
		socket.destroy();
	});
	await once(socket, 'connect');
	socket.write(bytes);
	return received;
};

const buildRequest = (path: string, {host = 'Host: a\r\n', body = 'b'} = {}): string =>
	`POST ${path} HTTP/1.1\r\n${host}Attempt: ${path}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;

const largeBody = 'b'.repeat(2_000_000);
/** Requests that are answered by the host itself, which closes their connections. */
const refused: ReadonlyArray<[name: string, build: (path: string) => string]> = [
	['without a host', path => buildRequest(path, {host: '', body: ''})],
	['with a large body', path => buildRequest(path, {body: largeBody})],
	['with many fields', path => buildRequest(path, {host: 'Host: a\r\n' + 'F: v\r\n'.repeat(300)})],
];

const countAnswers = (text: string): number => text.split('HTTP/1.1 ').length - 1;

/** Returns the number of requests of a connection that were answered before its close was announced, and with that answer. */
const countBeforeClose = (text: string): number => countAnswers(text.split('Connection: close', 1)[0] ?? '');

// Guards against: a stopping host announces the close with an answer behind which requests wait, and these end without one.
test('the requests that have come before a stop are answered, and the last answer announces the close', async () => {
	const {host, ran} = await startHost();
	const received = await Promise.all(Array.from({length: connections}, async (_, index) =>
		sendBytes(host.callers, buildRequest(`/book/first-${index}`) + buildRequest(`/book/behind-${index}`))));
	await expect.poll(() => ran.length).toBe(connections);
	void host.host.stop();
	await sleep(arrivalTime);
	expect(received.map(({text}) => countAnswers(text))).toEqual(received.map(() => 2));
	expect(received.map(({text}) => countBeforeClose(text))).toEqual(received.map(() => 2));
	expect(ran.length).toBe(2 * connections);
}, testTimeout);

// Guards against: of the requests of a connection that are open as their host ends, only the first one is answered.
test('the requests that wait as a host ends are refused as not run', async () => {
	const {host, ran} = await startHost(() => undefined, shortGracePeriod);
	const received = await Promise.all(Array.from({length: connections}, async (_, index) =>
		sendBytes(host.callers, Array.from({length: 3}, (_, place) => buildRequest(`/book/${index}-${place}`)).join(''))));
	await expect.poll(() => ran.length).toBe(connections);
	await host.host.stop();
	await sleep(workTime);
	const statuses = received.map(({text}) => [...text.matchAll(/HTTP\/1\.1 (\d+)/gv)].map(([, status]) => Number(status)));
	expect(statuses).toEqual(received.map(() => [502, 503, 503]));
	expect(received.map(({text}) => countBeforeClose(text))).toEqual(received.map(() => 3));
	expect(ran.length).toBe(connections);
}, testTimeout);

// Guards against: a request that comes after the announcement of the close is passed on before the connection is closed, and its answer is lost.
test('no request runs that comes while the answer that announces the close is being written', async () => {
	const {host, ran} = await startHost(answerLarge);
	const received = await Promise.all(Array.from({length: largeAnswers}, async () => sendBytes(host.callers, buildRequest('/book/first'))));
	await expect.poll(() => ran.length).toBe(largeAnswers);
	void host.host.stop();
	await expect.poll(() => received.every(({text}) => text.includes('Connection: close'))).toBe(true);
	for (const {socket} of received) {
		socket.pause();
		socket.write(buildRequest('/book/behind'));
	}

	await sleep(workTime);
	for (const {socket} of received) {
		socket.resume();
	}

	await sleep(arrivalTime);
	expect(received.map(({text}) => countAnswers(text))).toEqual(received.map(() => 1));
	expect(received.every(({text}) => text.length > largeBytes)).toBe(true);
	expect(ran).toEqual(received.map(() => '/book/first'));
}, testTimeout);

// Guards against: a request is passed on behind one that the host has refused with the close of the connection, and its answer is lost.
test.each(refused)('no request runs behind one that is refused with the close of the connection: %s', async (_, build) => {
	const {host, ran} = await startHost();
	const received = await Promise.all(Array.from({length: connections}, async () =>
		sendBytes(host.callers, build('/book/refused') + buildRequest('/book/behind'))));
	await sleep(refusalTime);
	expect(received.map(({text}) => countAnswers(text))).toEqual(received.map(() => 1));
	expect(ran).toEqual([]);
}, testTimeout);

/** Returns the bytes of some requests, and their paths. */
const buildPipeline = (random: Random, connection: number): {bytes: string; paths: string[]} => {
	const builders = [buildRequest, buildRequest, buildRequest, ...refused.map(([, build]) => build)];
	const paths = Array.from({length: 1 + random.nextInt(5)}, (_, index) => `/book/${connection}-${index}`);
	return {bytes: paths.map(path => random.pick(builders)!(path)).join(''), paths};
};

// Guards against: one of the ways to close a connection after an answer lets the next request run.
test.each([1, 2, 3])('no request runs whose caller was told of the close before it was handled, seed %i', async seed => {
	const random = createRandom(seed);
	const {host, ran} = await startHost();
	const stopAfter = random.nextInt(3 * workTime);
	const pipelines = Array.from({length: connections}, (_, connection) => buildPipeline(random, connection));
	const received = await Promise.all(pipelines.map(async ({bytes}) => sendBytes(host.callers, bytes)));
	await sleep(stopAfter);
	void host.host.stop();
	await sleep(arrivalTime);
	const allowed = new Set(pipelines.flatMap(({paths}, connection) => paths.slice(0, countBeforeClose(received[connection]!.text))));
	expect(ran.filter(path => !allowed.has(path))).toEqual([]);
}, testTimeout);
