import {once} from 'node:events';
import process from 'node:process';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {splitAddress, type Milliseconds} from '@gentianlift/types';
import {expect, onTestFinished, test} from 'vitest';
import {startLinkedFleet, type LinkedHost} from '../links/testing-partition.js';
import {answerOk, configuration, type AnswerHandler} from '../test-deployment.js';

const shortGracePeriod: Milliseconds = 1000;
/** Grace period of which the part in which all requests are accepted is long enough for a request. */
const longGracePeriod: Milliseconds = 3000;

/** Time in which a request that is passed on reaches its upstream. */
const settleTime: Milliseconds = 300;

/** Never answers. */
const hang: AnswerHandler = incoming => {
	incoming.resume();
};

const startStoppableHost = async (gracePeriod: Milliseconds, answer = answerOk): Promise<{host: LinkedHost; counts: number[]}> => {
	const {hosts: [host], counts} = await startLinkedFleet({
		hosts: 1, upstreams: [answer], configuration, gracePeriod, onFinished: onTestFinished,
	});
	return {host: host!, counts};
};

const openConnection = async ({callers}: LinkedHost): Promise<{socket: Socket; received: {text: string}}> => {
	const socket = connect(splitAddress(callers));
	const received = {text: ''};
	socket.on('data', (bytes: Uint8Array) => {
		received.text += String(bytes);
	});
	socket.on('error', () => undefined);
	onTestFinished(() => {
		socket.destroy();
	});
	await once(socket, 'connect');
	return {socket, received};
};

const getBooking = (attempt: string): string => `POST /book/1 HTTP/1.1\r\nhost: a\r\nattempt: ${attempt}\r\ncontent-length: 0\r\n\r\n`;

/** Returns the number of answers of the upstream in what a caller has received. */
const countAnswers = (text: string): number => text.split('HTTP/1.1 200').length - 1;

// Guards against: a request that was sent ahead is passed on after the answer before it has closed its connection, and runs without an answer.
test('a stopping host passes on no request whose connection it has closed', async () => {
	const {host, counts} = await startStoppableHost(longGracePeriod);
	const {socket, received} = await openConnection(host);
	void host.host.stop();
	socket.write(getBooking('a1') + getBooking('a2'));
	await once(socket, 'close');
	await sleep(settleTime);
	expect(countAnswers(received.text)).toBeGreaterThan(0);
	expect(counts[0]).toBe(countAnswers(received.text));
});

// Guards against: the answers to requests that were sent ahead count as open after their connection is gone, and hold the end of the process until it kills itself.
test('requests that were sent ahead and come after the end of admission are open no longer than their connection', async () => {
	const {host} = await startStoppableHost(shortGracePeriod);
	const {socket, received} = await openConnection(host);
	await host.host.stop();
	socket.write(getBooking('a1') + getBooking('a2'));
	await once(socket, 'close');
	await sleep(settleTime);
	expect(received.text).toMatch(/^HTTP\/1\.1 503/v);
	expect(host.host.countOpenRequests()).toBe(0);
});

// Guards against: each request that waits on a connection adds a listener to it, of which the process warns outside its log.
test('a stopping host answers many requests that wait on one connection without a warning', async () => {
	const warnings: string[] = [];
	const listener = ({name}: Error): void => {
		warnings.push(name);
	};

	process.on('warning', listener);
	onTestFinished(() => {
		process.off('warning', listener);
	});
	const {host} = await startStoppableHost(shortGracePeriod, hang);
	const {socket, received} = await openConnection(host);
	const closed = once(socket, 'close');
	socket.write(Array.from({length: 16}, (_, index) => getBooking(`a${index}`)).join(''));
	await sleep(settleTime);
	await host.host.stop();
	await closed;
	expect(received.text.split('HTTP/1.1 ')).toHaveLength(17);
	expect(host.host.countOpenRequests()).toBe(0);
	expect(warnings).toEqual([]);
});
