import {connect} from 'node:net';
import {text} from 'node:stream/consumers';
import {
	afterAll, beforeAll, expect, test,
} from 'vitest';
import {splitAddress, type Account} from '@gentianlift/types';
import {getStreamedText} from './testing/get-streamed-text.js';
import {startFleet, type TestFleet} from './testing/start-fleet.js';

let fleet: TestFleet;

beforeAll(async () => {
	fleet = await startFleet(2, {
		callerLimits: {
			headerBytes: 16_384, bodyBytes: 100_000, headerTimeout: 500, bodyTimeout: 300, connections: 1000,
		},
	});
});

afterAll(async () => {
	await fleet.close();
});

type Options = {
	host?: number; method?: string; body?: string; headers?: Record<string, string>; key?: string; signal?: AbortSignal;
};

const call = async (path: string, {host = 0, method, body, headers, key = fleet.key, signal}: Options = {}): Promise<Response> =>
	fetch(`http://${fleet.hosts[host]?.settings.callerAddress}${path}`, {
		method: method ?? (body === undefined ? 'GET' : 'POST'),
		headers: {...(key !== '' && {authorization: `Bearer ${key}`}), ...headers},
		...(body !== undefined && {body}),
		...(signal !== undefined && {signal}),
	});

const createChatBody = (content: string, rest: Record<string, unknown> = {}): string =>
	JSON.stringify({model: 'counter-8b', messages: [{role: 'user', content}], ...rest});

const readErrorKind = async (response: Response): Promise<string> => {
	await response.text();
	return response.headers.get('x-error-kind') ?? '';
};

const readAccount = async (id: string | undefined, host = 0): Promise<Account> => {
	const response = await call(`/v1/requests/${id}`, {host});
	return await response.json() as Account;
};

const countGenerations = (): number => [...fleet.fakes.engines.values()].reduce((sum, engine) => sum + engine.getState().received, 0);

const getServiceCalls = () => [...fleet.fakes.services.values()].flatMap(({calls}) => calls);

test('a complete response and a streamed one hold the same text', async () => {
	const whole = await call('/v1/chat/completions', {body: createChatBody('same text')});
	const {choices} = await whole.json() as {choices: Array<{message: {content: string}}>};
	const stream = await call('/v1/chat/completions', {body: createChatBody('same text', {stream: true}), host: 1});
	expect(getStreamedText(await stream.text())).toBe(choices[0]?.message.content);
	expect(stream.headers.get('x-ran')).toBe('ran');
});

test('each invalid request gets its error kind, and nothing is sent upstream', async () => {
	const before = countGenerations() + getServiceCalls().length;
	const path = '/v1/chat/completions';
	const cases: Array<[string, Promise<Response>]> = [
		['missing-key', call('/v1/models', {key: ''})],
		['wrong-key', call('/v1/models', {key: 'nobody'})],
		['bad-json', call(path, {body: '{'})],
		['bad-request', call(path, {body: '{"model":"counter-8b"}'})],
		['bad-request', call(path, {body: createChatBody('a', {tools: []})})],
		['unknown-model', call(path, {body: createChatBody('a', {model: 'none'})})],
		['unknown-class', call(path, {body: createChatBody('a'), headers: {'x-class': 'none'}})],
		['body-too-large', call(path, {body: createChatBody('a'.repeat(200_000))})],
		['key-missing', call('/v1/services/orders/cut-orders', {body: '{}'})],
		['key-invalid', call('/v1/services/orders/cut-orders', {body: '{}', headers: {'idempotency-key': 'a b'}})],
		['bad-request', call('/v1/services/orders/stock%2F..%2Fcut-orders')],
		['unknown-service', call('/v1/services/none/x')],
		['unknown-path', call('/none')],
		['unknown-request', call('/v1/requests/none')],
	];
	for (const [kind, pending] of cases) {
		// eslint-disable-next-line no-await-in-loop -- The requests run concurrently; this only reads the responses.
		expect(await readErrorKind(await pending)).toBe(kind);
	}

	expect(countGenerations() + getServiceCalls().length).toBe(before);
});

const sendRaw = async (text: string): Promise<string> => new Promise(resolve => {
	const {hostname, port} = new URL(`http://${fleet.hosts[0]?.settings.callerAddress}`);
	const socket = connect(Number(port), hostname);
	let answer = '';
	socket.on('data', part => {
		answer += String(part);
	});
	socket.on('close', () => {
		resolve(answer);
	});
	socket.write(text);
});

test('a path that a service could normalise to another path is refused', async () => {
	for (const path of ['stock/../cut-orders', 'stock/%2e%2E/cut-orders', 'stock/.', String.raw`stock\..\cut-orders`]) {
		// eslint-disable-next-line no-await-in-loop -- Requests are sent one after another.
		const answer = await sendRaw(`POST /v1/services/orders/${path} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${fleet.key}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`);
		expect(answer).toContain('x-error-kind: bad-request');
	}
});

test('a query string may hold dot segments and encoded slashes', async () => {
	const answer = await call('/v1/services/orders/stock/3?place=a%2F..%2Fb');
	expect(answer.status).toBe(200);
});

test('slow and malformed requests are refused with their error kinds', async () => {
	const head = `POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${fleet.key}\r\ncontent-length: 100\r\nconnection: close\r\n\r\n{`;
	expect(await sendRaw(head)).toContain('x-error-kind: body-timeout');
	expect(await sendRaw('GET /v1/models HTTP/1.1\r\nhost: a\r\n')).toContain('x-error-kind: body-timeout');
	expect(await sendRaw('nonsense\r\n\r\n')).toContain('x-error-kind: bad-request');
	expect(await sendRaw(`GET / HTTP/1.1\r\nx: ${'a'.repeat(20_000)}\r\n\r\n`)).toContain('x-error-kind: headers-too-large');
	expect(await sendRaw('GET /v1/models HTTP/1.1\r\nhost: a\r\nauthorization: Bearer a\r\nauthorization: Bearer b\r\nconnection: close\r\n\r\n')).toContain('x-error-kind: repeated-header');
});

const sendBooking = async (key: string, body: string, host = 0): Promise<Response> =>
	call('/v1/services/orders/cut-orders', {body, host, headers: {'idempotency-key': key}});

test('a booking that is sent to two hosts at once runs once', async () => {
	const answers = await Promise.all([sendBooking('twice', '{"bar":1}', 0), sendBooking('twice', '{"bar":1}', 1), sendBooking('twice', '{"bar":1}', 0)]);
	const bodies = new Set(await Promise.all(answers.map(async answer => answer.text())));
	expect(bodies.size).toBe(1);
	expect(answers.map(({status}) => status)).toEqual([200, 200, 200]);
	expect(getServiceCalls().filter(({idempotencyKey}) => idempotencyKey === 'twice')).toHaveLength(1);
	expect(await readErrorKind(await sendBooking('twice', '{"bar":2}'))).toBe('key-mismatch');
});

test('a booking whose caller disconnects still runs, and its account says so', async () => {
	const aborting = new AbortController();
	const pending = call('/v1/services/orders/cut-orders', {body: '{"bar":9}', headers: {'idempotency-key': 'left'}, signal: aborting.signal});
	await expect.poll(() => fleet.fakes.keyValue.store.list('claims/').length).toBeGreaterThan(0);
	aborting.abort();
	await pending.catch(() => undefined);
	const repeated = await sendBooking('left', '{"bar":9}', 1);
	expect(repeated.status).toBe(200);
	expect(getServiceCalls().filter(({idempotencyKey}) => idempotencyKey === 'left')).toHaveLength(1);
	const id = repeated.headers.get('x-original-request-id') ?? repeated.headers.get('x-request-id') ?? '';
	expect(await readAccount(id, 1)).toMatchObject({ran: 'ran', state: {kind: 'finished'}});
});

test('a chat request whose caller disconnects is cancelled at the engine', async () => {
	const aborting = new AbortController();
	const response = await call('/v1/chat/completions', {body: createChatBody('long #tokens=2000', {stream: true}), signal: aborting.signal});
	const id = response.headers.get('x-request-id') ?? '';
	aborting.abort();
	await expect.poll(async () => readAccount(id)).toMatchObject({state: {kind: 'cancelled'}});
});

test('the account of another customer\'s request is not returned', async () => {
	const response = await call('/v1/chat/completions', {body: createChatBody('mine')});
	const id = response.headers.get('x-request-id') ?? '';
	expect(await readAccount(id, 1)).toMatchObject({id, ran: 'ran'});
	expect(await readErrorKind(await call(`/v1/requests/${id}`, {key: fleet.otherKey}))).toBe('unknown-request');
});

test('during an outage of the key-value service chat requests succeed and bookings are refused as not run', async () => {
	Object.assign(fleet.fakes.keyValue.faults, {outage: true});
	const question = await call('/v1/chat/completions', {body: createChatBody('still there')});
	const booking = await sendBooking('outage', '{"bar":3}');
	expect(question.status).toBe(200);
	expect(booking.headers.get('x-ran')).toBe('not-run');
	expect(await readErrorKind(booking)).toBe('claims-unavailable');
	Object.assign(fleet.fakes.keyValue.faults, {outage: false});
	expect(getServiceCalls().filter(({idempotencyKey}) => idempotencyKey === 'outage')).toHaveLength(0);
	await expect.poll(async () => readErrorKind(await sendBooking('outage', '{"bar":3}', 1))).toBe('');
});

test('a booking whose upstream resets the connection has an unknown outcome and isn\'t sent again', async () => {
	const instances = [...fleet.fakes.services.entries()].filter(([id]) => id.includes('orders'));
	for (const [, {faults}] of instances) {
		Object.assign(faults, {loseReplies: 1});
	}

	const response = await sendBooking('reset', '{"bar":4}');
	expect(response.headers.get('x-ran')).toBe('unknown');
	await response.text();
	for (const [, {faults}] of instances) {
		Object.assign(faults, {loseReplies: 0});
	}

	const repeated = await sendBooking('reset', '{"bar":4}', 1);
	expect(repeated.headers.get('x-ran')).toBe('unknown');
	expect(getServiceCalls().filter(({idempotencyKey}) => idempotencyKey === 'reset')).toHaveLength(1);
});

// Guards against: the refusal of what follows a booking on its connection is taken for the booking's answer, and says that it didn't run.
test('a booking that is followed by malformed bytes gets its answer, and nothing else', async () => {
	const socket = connect(splitAddress(fleet.hosts[0]?.settings.callerAddress ?? ''));
	const head = ['POST /v1/services/orders/cut-orders HTTP/1.1', 'host: a', `authorization: Bearer ${fleet.key}`, 'idempotency-key: followed', 'content-length: 2'];
	const malformed = 'malformed\r\n\r\n';
	socket.write(`${head.join('\r\n')}\r\n\r\n{}${malformed}`);
	await expect.poll(() => getServiceCalls().filter(({idempotencyKey}) => idempotencyKey === 'followed')).toHaveLength(1);
	socket.write(malformed);
	const answer = await text(socket);
	expect(answer.match(/HTTP\/1\.1 \d+/gv)).toEqual(['HTTP/1.1 200']);
	expect(answer).toContain('x-ran: ran');
	expect(answer).toContain('"idempotencyKey":"followed"');
});
