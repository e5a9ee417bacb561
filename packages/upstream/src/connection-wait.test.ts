import {createServer, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {createManualClock} from '@gentianlift/clock';
import {expect, onTestFinished, test} from 'vitest';
import {createUpstreamClient} from './index.js';

/** Connections that a host may have to one upstream. */
const connectionCount = 512;
const silenceLimits = {
	caller: 10_000, firstToken: 60_000, betweenTokens: 10_000, service: 30_000, peer: 1000, platform: 1000, watch: 1000,
};

/** Starts an upstream that holds its requests, and a client on a manual clock whose connections to it are all in use. */
const startBusyUpstream = async () => {
	const held: ServerResponse[] = [];
	const server = createServer((_request, response) => {
		held.push(response);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	const clock = createManualClock();
	const client = createUpstreamClient({clock, silenceLimits});
	onTestFinished(() => {
		client.close();
		server.close();
		server.closeAllConnections();
	});
	const call = async (signal?: AbortSignal) => client.callService({
		address, method: 'GET', path: '/', headers: {}, ...(signal && {signal}),
	});
	const calls = Array.from({length: connectionCount}, async () => call());
	await expect.poll(() => held.length).toBe(connectionCount);
	return {
		client, address, clock, held, calls, call,
	};
};

// Guards against: a healthy upstream is ejected as unreachable because calls waited for this host's own connections.
test('a call that gets no connection of the pool in time is unsent, and the calls in flight go on', async () => {
	const {client, address, clock, held, calls, call} = await startBusyUpstream();
	const waiting = call();
	const probe = client.checkHealth(address);
	await clock.advance(2000);
	expect(await waiting).toEqual({kind: 'unsent'});
	expect(await probe).toBeUndefined();
	for (const response of held) {
		response.end();
	}

	const results = await Promise.all(calls);
	expect(results.every(({kind}) => kind === 'answered')).toBe(true);
	expect(held).toHaveLength(connectionCount);
});

// Guards against: a caller that has left is held until a connection is free.
test('a call that is cancelled while it waits for a connection ends at once', async () => {
	const {call} = await startBusyUpstream();
	const controller = new AbortController();
	const waiting = call(controller.signal);
	controller.abort();
	expect(await waiting).toEqual({kind: 'cancelled'});
});
