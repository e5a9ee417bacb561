import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {createManualClock, createSystemClock} from '@gentianlift/clock';
import {createSilenceWatch} from './wire/silence.js';
import {
	createUpstreamClient, getRunState, type CallFailure, type Generation, type UpstreamClient,
} from './index.js';

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

const silenceLimits = {
	caller: 10_000, firstToken: 60_000, betweenTokens: 10_000, service: 30_000, peer: 1000, platform: 1000, watch: 1000,
};
const opened: Array<Server | UpstreamClient> = [];
const sockets = new Set<Socket>();

const serve = async (handler: Handler): Promise<string> => {
	const server = createServer(handler);
	server.on('connection', socket => {
		sockets.add(socket);
	});
	opened.push(server);
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const createClient = (clock = createSystemClock()): UpstreamClient => {
	const client = createUpstreamClient({clock, silenceLimits});
	opened.push(client);
	return client;
};

const token = (text: string) => `data: ${JSON.stringify({choices: [{delta: {content: text}}]})}\n\n`;
const last = `data: ${JSON.stringify({choices: [{delta: {}, finish_reason: 'stop'}], usage: {completion_tokens: 2}})}\n\n`;
const done = 'data: [DONE]\n\n';

const getStarted = (result: Generation | CallFailure): Generation => {
	if (result.kind !== 'started') {
		throw new Error(`not started: ${result.kind}`);
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

const run = async (client: UpstreamClient, address: string, signal?: AbortSignal) => client.generate({
	address, body: '{}', headers: {'x-request-id': 'a.1.1', 'x-priority': '0'}, ...(signal && {signal}),
});

afterEach(() => {
	for (const item of opened.splice(0)) {
		item.close();
	}

	for (const socket of sockets) {
		socket.destroy();
	}

	sockets.clear();
});

test('relays a generation whole', async () => {
	const sent = [token('a"'), token('\u00E9'), last, done].join('');
	const address = await serve((_request, response) => {
		for (const byte of Buffer.from(sent)) {
			response.write(Buffer.from([byte]));
		}

		response.end();
	});
	const generation = getStarted(await run(createClient(), address));
	expect(await readAll(generation)).toBe(sent);
	expect(await generation.outcome).toEqual({kind: 'finished', finishReason: 'stop', usage: {completion_tokens: 2}});
	expect(generation.getText()).toBe('a"\u00E9');
	expect(generation.getTokens()).toBe(2);
});

test('an end without the terminal event is incomplete', async () => {
	const address = await serve((_request, response) => {
		response.end(token('a') + last);
	});
	const generation = getStarted(await run(createClient(), address));
	await readAll(generation);
	expect(await generation.outcome).toEqual({kind: 'incomplete'});
});

test('a crash in mid-answer keeps the whole events', async () => {
	const address = await serve((_request, response) => {
		response.write(`${token('a')}data: {"choi`, () => {
			response.destroy();
		});
	});
	const generation = getStarted(await run(createClient(), address));
	expect(await readAll(generation)).toBe(token('a'));
	expect(await generation.outcome).toMatchObject({kind: 'reset'});
});

test('a refused connection did not run', async () => {
	const address = await serve(() => undefined);
	opened.splice(0)[0]?.close();
	const result = await run(createClient(), address);
	expect(result).toMatchObject({kind: 'unreachable', reason: 'ECONNREFUSED'});
	expect(getRunState(result as CallFailure)).toBe('not-run');
});

test('a refusal did not run and names its code', async () => {
	const address = await serve((_request, response) => {
		response.writeHead(503, {'x-ran': 'not-run', 'retry-after': '2'}).end('{"error":{"code":"leaving"}}');
	});
	expect(await run(createClient(), address)).toEqual({kind: 'refused', code: 'leaving', retryAfter: 2000});
});

test('a 503 without the header is a failure', async () => {
	const address = await serve((_request, response) => {
		response.writeHead(503).end('no');
	});
	const result = await run(createClient(), address);
	expect(result).toMatchObject({kind: 'failed', status: 503});
	expect(getRunState(result as CallFailure)).toBe('ran');
});

test('a kept-alive connection that is reset is not tried again', async () => {
	let calls = 0;
	const address = await serve((request, response) => {
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

test('a silent engine is given up, told so, and reached over a new connection', async () => {
	const clock = createManualClock();
	const events = new EventTarget();
	const arrival = once(events, 'arrived');
	const cancelled = once(events, 'DELETE /v1/generations/a.1.1');
	let calls = 0;
	const address = await serve((request, response) => {
		calls++;
		if (calls === 1) {
			events.dispatchEvent(new Event('arrived'));
			return;
		}

		events.dispatchEvent(new Event(`${request.method} ${request.url}`));
		response.end(token('a') + done);
	});
	const client = createClient(clock);
	const pending = run(client, address);
	await arrival;
	await clock.advance(silenceLimits.firstToken + 2000);
	expect(await pending).toMatchObject({kind: 'silent', after: silenceLimits.firstToken});
	await cancelled;
	const generation = getStarted(await run(client, address));
	await readAll(generation);
	expect(await generation.outcome).toMatchObject({kind: 'finished'});
});

test('a pause of this process is not silence', async () => {
	const clock = createManualClock();
	let isSilent = false;
	const watch = createSilenceWatch(clock, 1000, () => {
		isSilent = true;
	});
	clock.pause(20_000);
	await clock.advance(999);
	expect(isSilent).toBe(false);
	await clock.advance(1);
	expect(isSilent).toBe(true);
	watch.stop();
});

test('the limit between tokens starts with the first one', async () => {
	const clock = createManualClock();
	const address = await serve((_request, response) => {
		response.write(token('a'));
	});
	const generation = getStarted(await run(createClient(clock), address));
	const reader = generation.chunks[Symbol.asyncIterator]();
	await reader.next();
	await clock.advance(silenceLimits.betweenTokens);
	expect(await generation.outcome).toEqual({kind: 'silent', after: silenceLimits.betweenTokens});
});

test('aborting closes the connection at the engine', async () => {
	const abort = new AbortController();
	const closed = new Promise<void>(resolve => {
		void serve((_request, response) => {
			response.on('close', resolve);
			response.write(token('a'));
		}).then(async address => {
			const generation = getStarted(await run(createClient(), address, abort.signal));
			abort.abort();
			expect(await generation.outcome).toEqual({kind: 'cancelled'});
		});
	});
	await closed;
});

test('a slow reader holds the engine back', async () => {
	const large = token('x'.repeat(1000));
	const total = 20_000;
	let written = 0;
	const address = await serve((_request, response) => {
		const write = (): void => {
			while (written < total) {
				written++;
				if (!response.write(large)) {
					response.once('drain', write);
					return;
				}
			}

			response.end(done);
		};

		write();
	});
	const generation = getStarted(await run(createClient(), address));
	await new Promise(resolve => {
		setTimeout(resolve, 300);
	});
	expect(written).toBeLessThan(total);
	await readAll(generation);
	expect(generation.getTokens()).toBe(total);
});

test('a service answer passes without the headers of the connection', async () => {
	const address = await serve((_request, response) => {
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

test('an order that loses its reply is unknown', async () => {
	const address = await serve(request => {
		request.socket.destroy();
	});
	const order = {id: 'o1', fencingNumber: 1, order: {kind: 'unload', model: 'm'}} as const;
	expect(await createClient().sendOrder(address, order)).toMatchObject({kind: 'unknown'});
});

test('an order with an old fencing number is stale', async () => {
	const address = await serve((_request, response) => {
		response.writeHead(409).end('{"highest":7}');
	});
	const order = {id: 'o1', fencingNumber: 1, order: {kind: 'unload', model: 'm'}} as const;
	expect(await createClient().sendOrder(address, order)).toEqual({kind: 'stale', highest: 7});
});

test('a service without a health page is alive, and one in trouble is not', async () => {
	const plain = await serve((_request, response) => {
		response.writeHead(404).end();
	});
	const troubled = await serve((_request, response) => {
		response.writeHead(503).end();
	});
	expect(await createClient().checkHealth(plain)).toBe('success');
	expect(await createClient().checkHealth(troubled)).toBe('error');
});
