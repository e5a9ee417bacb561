import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, expect, test} from 'vitest';

type Caller = {send: (path: string, options?: {method?: string; body?: unknown; idempotencyKey?: string}) => Promise<Response>};
type Example = {createCaller: (options: {known: string[]; key: string; zone?: string}) => Caller};
type Host = {address: string; server: Server; keys: string[]; refusals: Array<{status: number; error: Record<string, unknown>}>};

const example = await import(new URL('../../../docs/examples/caller.js', import.meta.url).href) as Example;
const hosts: Host[] = [];
let listedAddresses: string[] = [];

const startHost = async (): Promise<Host> => {
	const host: Host = {
		address: '', keys: [], refusals: [], server: createServer((request, response) => {
			if (request.url?.startsWith('/v1/hosts')) {
				response.end(JSON.stringify({hosts: listedAddresses.map(address => ({address, weight: 10})), timeToLive: 60_000}));
				return;
			}

			host.keys.push(String(request.headers['idempotency-key']));
			const refusal = host.refusals.shift();
			response.writeHead(refusal?.status ?? 200).end(JSON.stringify(refusal === undefined ? {done: true} : {error: refusal.error}));
		}),
	};
	await new Promise<void>(resolve => {
		host.server.listen(0, '127.0.0.1', resolve);
	});
	host.address = `127.0.0.1:${(host.server.address() as AddressInfo).port}`;
	hosts.push(host);
	return host;
};

const stopHost = ({server}: Host): void => {
	server.closeAllConnections();
	server.close();
};

afterEach(() => {
	for (const host of hosts.splice(0)) {
		stopHost(host);
	}
});

test('the example caller survives the loss of a host from its list', async () => {
	const [first, second] = [await startHost(), await startHost()];
	listedAddresses = [first.address, second.address];
	const caller = example.createCaller({known: [first.address], key: 'k', zone: 'a'});
	await caller.send('/v1/chat/completions', {body: {}});
	stopHost(first);
	listedAddresses = [second.address];
	for (let sent = 0; sent < 5; sent++) {
		// eslint-disable-next-line no-await-in-loop -- Requests are sent one after another.
		const answer = await caller.send('/v1/chat/completions', {body: {}});
		expect(answer.status).toBe(200);
	}
});

test('the example caller retries a booking with the same idempotency key', async () => {
	const host = await startHost();
	listedAddresses = [host.address];
	host.refusals.push({status: 503, error: {code: 'claims-unavailable', ran: 'not-run', retry: 'same-key'}}, {status: 503, error: {code: 'host-stopping', ran: 'not-run', retry: 'now'}});
	const caller = example.createCaller({known: [host.address], key: 'k'});
	await caller.send('/v1/services/orders/cut-orders', {body: {}, idempotencyKey: 'order-1'});
	expect(host.keys).toEqual(['order-1', 'order-1', 'order-1']);
});

test('the example caller gives up on an error that a retry cannot resolve', async () => {
	const host = await startHost();
	listedAddresses = [host.address];
	host.refusals.push({status: 404, error: {code: 'model-unknown', ran: 'not-run', retry: 'never'}});
	const caller = example.createCaller({known: [host.address], key: 'k'});
	await expect(caller.send('/v1/chat/completions', {body: {}})).rejects.toMatchObject({code: 'model-unknown', ran: 'not-run'});
	expect(host.keys.length).toBe(1);
});
