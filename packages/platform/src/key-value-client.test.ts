import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {createSystemClock} from '@gentianlift/clock';
import {createKeyValueClient, type KeyValueClient} from './index.js';

const openClients: Array<{server: Server; client: KeyValueClient}> = [];

const startService = async (handle: (incoming: IncomingMessage, outgoing: ServerResponse) => void) => {
	const server = createServer(handle);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const client = createKeyValueClient({url: `http://127.0.0.1:${port}`, clock: createSystemClock(), timeout: 200});
	openClients.push({server, client});
	return client;
};

const sendReply = (outgoing: ServerResponse, status: number, body?: unknown): void => {
	outgoing.writeHead(status).end(body === undefined ? undefined : JSON.stringify(body));
};

afterEach(() => {
	for (const {server, client} of openClients.splice(0)) {
		client.close();
		server.closeAllConnections();
		server.close();
	}
});

test('distinguishes applied, rejected, not applied and unknown writes', async () => {
	const answers: Array<[number, unknown]> = [[200, {revision: 3}], [409, {revision: 2}], [429, {}], [503, {}], [500, {}]];
	const client = await startService((incoming, outgoing) => {
		incoming.resume();
		sendReply(outgoing, ...answers.shift()!);
	});
	const write = async () => client.compareAndSwap({key: 'a/b', value: '1', expected: 0});
	expect(await write()).toEqual({kind: 'applied', revision: 3});
	expect(await write()).toEqual({kind: 'rejected', revision: 2});
	expect(await write()).toMatchObject({kind: 'unavailable'});
	expect(await write()).toMatchObject({kind: 'unavailable'});
	expect(await write()).toMatchObject({kind: 'unknown'});
});

test('a reset after the request was sent is unknown, a refused connection unavailable', async () => {
	const client = await startService(incoming => {
		incoming.socket.destroy();
	});
	const write = async () => client.compareAndSwap({key: 'a', value: '1', expected: 0});
	expect(await write()).toMatchObject({kind: 'unknown'});
	openClients[0]!.server.close();
	await once(openClients[0]!.server, 'close');
	expect(await write()).toMatchObject({kind: 'unavailable', reason: 'ECONNREFUSED'});
});

test('replaces a connection that stopped answering', async () => {
	const connections = new Set<unknown>();
	const client = await startService((incoming, outgoing) => {
		connections.add(incoming.socket);
		if (connections.size > 1) {
			sendReply(outgoing, 404);
		}
	});
	expect(await client.read('a')).toMatchObject({kind: 'unavailable'});
	expect(await client.read('a')).toEqual({kind: 'absent'});
});

test('a truncated reply to a write is unknown', async () => {
	const client = await startService((incoming, outgoing) => {
		outgoing.writeHead(200, {'content-length': 20});
		outgoing.write('{"rev');
		outgoing.socket?.destroySoon();
	});
	expect(await client.remove('a', 1)).toMatchObject({kind: 'unknown'});
});

test('escapes keys, and a watch may outlast the timeout', async () => {
	const paths: string[] = [];
	const client = await startService((incoming, outgoing) => {
		paths.push(incoming.url ?? '');
		setTimeout(() => {
			sendReply(outgoing, 200, {key: 'a/b', value: '', revision: 9});
		}, 250);
	});
	expect(await client.watch('a/b', 8, 300)).toMatchObject({kind: 'changed', entry: {revision: 9}});
	expect(paths).toEqual(['/v1/watch/a%2Fb?after=8&limit=300']);
});
