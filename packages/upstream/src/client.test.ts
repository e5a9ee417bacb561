import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {createManualClock, createSystemClock} from '@gentianlift/clock';
import {createSilenceTimer} from './wire/silence-timer.js';
import {
	createUpstreamClient, getRunState, type CallFailure, type Generation, type UpstreamClient,
} from './index.js';

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

const silenceLimits = {
	caller: 10_000, firstToken: 60_000, betweenTokens: 10_000, service: 30_000, peer: 1000, platform: 1000, watch: 1000,
};
const closeables: Array<Server | UpstreamClient> = [];
const sockets = new Set<Socket>();

const startServer = async (handler: Handler): Promise<string> => {
	const server = createServer(handler);
	server.on('connection', socket => {
		sockets.add(socket);
	});
	closeables.push(server);
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const createClient = (clock = createSystemClock()): UpstreamClient => {
	const client = createUpstreamClient({clock, silenceLimits});
	closeables.push(client);
	return client;
};

const createTokenEvent = (text: string) => `data: ${JSON.stringify({choices: [{delta: {content: text}}]})}\n\n`;
const finalEvent = `data: ${JSON.stringify({choices: [{delta: {}, finish_reason: 'stop'}], usage: {completion_tokens: 2}})}\n\n`;
const terminalEvent = 'data: [DONE]\n\n';

const expectStarted = (result: Generation | CallFailure): Generation => {
	if (result.kind !== 'started') {
		throw new Error(`generation did not start: ${result.kind}`);
	}

	return result;
};

const readAll = async (generation: Generation): Promise<string> => {
	const pieces: string[] = [];
	for await (const {bytes} of generation.chunks) {
		pieces.push(bytes.toString());
	}

	return pieces.join('');
};

const startGeneration = async (client: UpstreamClient, address: string, signal?: AbortSignal) => client.generate({
	address, body: '{}', headers: {'x-request-id': 'a.1.1', 'x-priority': '0'}, ...(signal && {signal}),
});

afterEach(() => {
	for (const item of closeables.splice(0)) {
		item.close();
	}

	for (const socket of sockets) {
		socket.destroy();
	}

	sockets.clear();
});

test('a generation that arrives byte by byte is relayed unchanged', async () => {
	const sent = [createTokenEvent('a"'), createTokenEvent('\u00E9'), finalEvent, terminalEvent].join('');
	const address = await startServer((_request, response) => {
		for (const byte of Buffer.from(sent)) {
			response.write(Buffer.from([byte]));
		}

		response.end();
	});
	const generation = expectStarted(await startGeneration(createClient(), address));
	expect(await readAll(generation)).toBe(sent);
	expect(await generation.outcome).toEqual({kind: 'finished', finishReason: 'stop', usage: {completion_tokens: 2}});
	expect(generation.getText()).toBe('a"\u00E9');
	expect(generation.getTokens()).toBe(2);
});

test('a response that ends without the terminal event is incomplete', async () => {
	const address = await startServer((_request, response) => {
		response.end(createTokenEvent('a') + finalEvent);
	});
	const generation = expectStarted(await startGeneration(createClient(), address));
	await readAll(generation);
	expect(await generation.outcome).toEqual({kind: 'incomplete'});
});

test('a connection lost in mid-stream delivers the complete events and drops a partial one', async () => {
	const address = await startServer((_request, response) => {
		response.write(`${createTokenEvent('a')}data: {"choi`, () => {
			response.destroy();
		});
	});
	const generation = expectStarted(await startGeneration(createClient(), address));
	expect(await readAll(generation)).toBe(createTokenEvent('a'));
	expect(await generation.outcome).toMatchObject({kind: 'reset'});
});

test('after a refused connection the request is known not to have run', async () => {
	const address = await startServer(() => undefined);
	closeables.splice(0)[0]?.close();
	const result = await startGeneration(createClient(), address);
	expect(result).toMatchObject({kind: 'unreachable', reason: 'ECONNREFUSED'});
	expect(getRunState(result as CallFailure)).toBe('not-run');
});

test('a 503 with the header x-ran: not-run is a refusal with its code and retry time', async () => {
	const address = await startServer((_request, response) => {
		response.writeHead(503, {'x-ran': 'not-run', 'retry-after': '2'}).end('{"error":{"code":"leaving"}}');
	});
	expect(await startGeneration(createClient(), address)).toEqual({kind: 'refused', code: 'leaving', retryAfter: 2000});
});

test('a 503 without the header x-ran is an error after which the request counts as run', async () => {
	const address = await startServer((_request, response) => {
		response.writeHead(503).end('no');
	});
	const result = await startGeneration(createClient(), address);
	expect(result).toMatchObject({kind: 'failed', status: 503});
	expect(getRunState(result as CallFailure)).toBe('ran');
});

test('a request on a reused connection that is reset is not retried', async () => {
	let calls = 0;
	const address = await startServer((request, response) => {
		calls++;
		if (calls === 1) {
			response.end('ok');
		} else {
			request.socket.destroy();
		}
	});
	const client = createClient();
	const call = {
		address, method: 'POST', path: '/book', headers: {},
	};
	const first = await client.callService(call);
	expect(first).toMatchObject({kind: 'answered', status: 200});
	await (first.kind === 'answered' ? first.outcome : undefined);
	const second = await client.callService(call);
	expect(second).toMatchObject({kind: 'reset'});
	expect(getRunState(second as CallFailure)).toBe('unknown');
	expect(calls).toBe(2);
});

test('after a silence timeout the generation is cancelled, and the next request uses a new connection', async () => {
	const clock = createManualClock();
	const events = new EventTarget();
	const arrival = once(events, 'arrived');
	const cancelled = once(events, 'DELETE /v1/generations/a.1.1');
	let calls = 0;
	const address = await startServer((request, response) => {
		calls++;
		if (calls === 1) {
			events.dispatchEvent(new Event('arrived'));
			return;
		}

		events.dispatchEvent(new Event(`${request.method} ${request.url}`));
		response.end(createTokenEvent('a') + terminalEvent);
	});
	const client = createClient(clock);
	const pending = startGeneration(client, address);
	await arrival;
	await clock.advance(silenceLimits.firstToken + 2000);
	expect(await pending).toMatchObject({kind: 'silent', after: silenceLimits.firstToken});
	await cancelled;
	const generation = expectStarted(await startGeneration(client, address));
	await readAll(generation);
	expect(await generation.outcome).toMatchObject({kind: 'finished'});
});

test('a suspension of this process does not count towards the silence timeout', async () => {
	const clock = createManualClock();
	let hasTimedOut = false;
	const timer = createSilenceTimer(clock, 1000, () => {
		hasTimedOut = true;
	});
	clock.pause(20_000);
	await clock.advance(999);
	expect(hasTimedOut).toBe(false);
	await clock.advance(1);
	expect(hasTimedOut).toBe(true);
	timer.stop();
});

test('the silence timeout between tokens applies from the first token on', async () => {
	const clock = createManualClock();
	const address = await startServer((_request, response) => {
		response.write(createTokenEvent('a'));
	});
	const generation = expectStarted(await startGeneration(createClient(clock), address));
	const reader = generation.chunks[Symbol.asyncIterator]();
	await reader.next();
	await clock.advance(silenceLimits.betweenTokens);
	expect(await generation.outcome).toEqual({kind: 'silent', after: silenceLimits.betweenTokens});
});

test('aborting a generation closes its connection to the engine', async () => {
	const abort = new AbortController();
	const closed = new Promise<void>(resolve => {
		void startServer((_request, response) => {
			response.on('close', resolve);
			response.write(createTokenEvent('a'));
		}).then(async address => {
			const generation = expectStarted(await startGeneration(createClient(), address, abort.signal));
			abort.abort();
			expect(await generation.outcome).toEqual({kind: 'cancelled'});
		});
	});
	await closed;
});

test('a slow reader exerts backpressure on the engine', async () => {
	const largeEvent = createTokenEvent('x'.repeat(1000));
	const totalEvents = 20_000;
	let writtenEvents = 0;
	const address = await startServer((_request, response) => {
		const write = (): void => {
			while (writtenEvents < totalEvents) {
				writtenEvents++;
				if (!response.write(largeEvent)) {
					response.once('drain', write);
					return;
				}
			}

			response.end(terminalEvent);
		};

		write();
	});
	const generation = expectStarted(await startGeneration(createClient(), address));
	await new Promise(resolve => {
		setTimeout(resolve, 300);
	});
	expect(writtenEvents).toBeLessThan(totalEvents);
	await readAll(generation);
	expect(generation.getTokens()).toBe(totalEvents);
});

test('a service response is relayed without hop-by-hop headers', async () => {
	const address = await startServer((_request, response) => {
		response.writeHead(201, {connection: 'close, x-hop', 'x-hop': '1', 'x-kept': '2'}).end('made');
	});
	const answer = await createClient().callService({
		address, method: 'PUT', path: '/orders/1', headers: {}, body: '{}',
	});
	if (answer.kind !== 'answered') {
		throw new Error(answer.kind);
	}

	expect(answer.status).toBe(201);
	expect(answer.headers['x-hop']).toBeUndefined();
	expect(answer.headers['x-kept']).toBe('2');
	expect(await answer.outcome).toEqual({kind: 'finished'});
});

test('the outcome of an order whose response is lost is unknown', async () => {
	const address = await startServer(request => {
		request.socket.destroy();
	});
	const order = {id: 'o1', fencingNumber: 1, order: {kind: 'unload', model: 'm'}} as const;
	expect(await createClient().sendOrder(address, order)).toMatchObject({kind: 'unknown'});
});

test('an order rejected for an old fencing number is stale and reports the highest number', async () => {
	const address = await startServer((_request, response) => {
		response.writeHead(409).end('{"highest":7}');
	});
	const order = {id: 'o1', fencingNumber: 1, order: {kind: 'unload', model: 'm'}} as const;
	expect(await createClient().sendOrder(address, order)).toEqual({kind: 'stale', highest: 7});
});

test('a 404 of the health path counts as healthy and a 503 as an error', async () => {
	const withoutHealthPath = await startServer((_request, response) => {
		response.writeHead(404).end();
	});
	const failing = await startServer((_request, response) => {
		response.writeHead(503).end();
	});
	expect(await createClient().checkHealth(withoutHealthPath)).toBe('success');
	expect(await createClient().checkHealth(failing)).toBe('error');
});
