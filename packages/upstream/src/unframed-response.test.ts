import {createServer, type AddressInfo, type Socket} from 'node:net';
import {createSystemClock} from '@gentianlift/clock';
import {expect, onTestFinished, test} from 'vitest';
import {createUpstreamClient, type UpstreamClient} from './index.js';

const silenceLimits = {
	caller: 10_000, firstToken: 60_000, betweenTokens: 10_000, service: 30_000, peer: 1000, platform: 1000, watch: 1000,
};
/** Time in milliseconds after which a connection ends, so that the bytes before have been read. */
const endDelay = 20;

/** Starts an upstream that answers with the body, without length or chunks, and ends the connection after it. */
const startUpstream = async (body: string, end: (socket: Socket) => void): Promise<{client: UpstreamClient; address: string}> => {
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write(`HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n${body}`, () => {
				setTimeout(end, endDelay, socket);
			});
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const client = createUpstreamClient({clock: createSystemClock(), silenceLimits});
	onTestFinished(() => {
		client.close();
		server.close();
	});
	return {client, address: `127.0.0.1:${(server.address() as AddressInfo).port}`};
};

const resetConnection = (socket: Socket): void => {
	socket.resetAndDestroy();
};

const closeConnection = (socket: Socket): void => {
	socket.end();
};

/** Calls a service and returns how the body of its response ended. */
const getOutcome = async (end: (socket: Socket) => void) => {
	const {client, address} = await startUpstream('made', end);
	const response = await client.callService({
		address, method: 'POST', path: '/orders', headers: {}, body: '{}',
	});
	return response.kind === 'answered' ? response.outcome : response;
};

// Guards against: a service's response without length or chunks whose connection is reset counts as complete.
test('a response without length or chunks is finished when its connection closes, and failed when it is reset', async () => {
	expect(await getOutcome(closeConnection)).toEqual({kind: 'finished'});
	expect(await getOutcome(resetConnection)).toMatchObject({kind: 'reset'});
});

// Guards against: a short body without length or chunks whose connection is reset is taken for all of it.
test('a load report without length or chunks whose connection is reset is not read', async () => {
	const load = JSON.stringify({
		at: 1, running: 1, waiting: 0, freeTokens: 5, capacityTokens: 10, models: [],
	});
	const whole = await startUpstream(load, closeConnection);
	const reset = await startUpstream(load, resetConnection);
	expect(await reset.client.readLoad(reset.address)).toBeUndefined();
	expect(await whole.client.readLoad(whole.address)).toBeDefined();
});
