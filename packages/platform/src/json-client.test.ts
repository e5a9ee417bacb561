import {createServer, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {createManualClock, createSystemClock} from '@gentianlift/clock';
import {expect, onTestFinished, test} from 'vitest';
import {createJsonClient, type JsonClient} from './json-client.js';

/** Connections that a client may have. */
const connectionCount = 64;
const timeout = 200;

/** Starts a service that answers no call until `answerAll` is called, and a client of it on a manual clock. */
const startSilentService = async () => {
	let calls = 0;
	const responses: ServerResponse[] = [];
	const server = createServer((_, response) => {
		calls += 1;
		responses.push(response);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	const clock = createManualClock();
	const client: JsonClient = createJsonClient({url: `http://127.0.0.1:${port}`, clock, timeout});
	onTestFinished(() => {
		client.close();
		server.close();
		server.closeAllConnections();
	});
	return {
		client,
		clock,
		countCalls: () => calls,
		answerAll() {
			for (const response of responses) {
				response.writeHead(204);
				response.end();
			}
		},
	};
};

// Guards against: a call outlives its timeout by the time that other calls of this host use all connections.
test('a call that gets no connection within its timeout fails as not sent', async () => {
	const {client, clock, countCalls} = await startSilentService();
	for (let index = 0; index < connectionCount; index++) {
		void client.call({method: 'GET', path: '/watch', timeoutExtension: 10_000});
	}

	await expect.poll(countCalls).toBe(connectionCount);
	const outcome = client.call({method: 'POST', path: '/write', body: {}});
	await clock.advance(timeout);
	expect(await outcome).toEqual({kind: 'unavailable', reason: 'timeout'});
	expect(countCalls()).toBe(connectionCount);
});

const slowTimeout = 600;

/** Starts a service that sends the head of its replies at once and the body later, and a client on the system's clock. */
const startSlowService = async (bodyDelay: number, options: {bodyTimeout?: number; idleTimeout?: number}) => {
	const server = createServer((_, response) => {
		response.writeHead(200);
		response.write('{"value":');
		setTimeout(() => {
			response.end('1}');
		}, bodyDelay);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	const client = createJsonClient({
		url: `http://127.0.0.1:${port}`, clock: createSystemClock(), timeout: slowTimeout, ...options,
	});
	onTestFinished(() => {
		client.close();
		server.close();
		server.closeAllConnections();
	});
	return client.call({method: 'GET', path: '/'});
};

// Guards against: a large reply is never read in whole, as each attempt ends in the middle of it.
test('the body of a reply may take longer than the timeout, up to a limit of its own', async () => {
	const idleTimeout = 5000;
	expect(await startSlowService(2 * slowTimeout, {bodyTimeout: 3000, idleTimeout})).toMatchObject({kind: 'answered', status: 200, body: {value: 1}});
	expect(await startSlowService(2 * slowTimeout, {bodyTimeout: 100, idleTimeout})).toEqual({kind: 'unknown', reason: 'timeout'});
	expect(await startSlowService(2 * slowTimeout, {idleTimeout})).toEqual({kind: 'unknown', reason: 'timeout'});
	expect(await startSlowService(2 * slowTimeout, {bodyTimeout: 3000})).toMatchObject({kind: 'unknown'});
});

// Guards against: a host that was suspended takes replies that it has not read yet for missing ones, and the store or another host for lost.
test('a reply that arrives while the process is suspended counts, although its timeout has passed', async () => {
	const {client, clock, countCalls, answerAll} = await startSilentService();
	const outcome = client.call({method: 'GET', path: '/'});
	await expect.poll(countCalls).toBe(1);
	answerAll();
	clock.pause(10 * timeout);
	await clock.advance(0);
	expect(await outcome).toMatchObject({kind: 'answered', status: 204});
});
