import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type ServerResponse,
} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {buffer} from 'node:stream/consumers';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Milliseconds} from '@gentianlift/types';
import {expect, onTestFinished, test} from 'vitest';
import {createInFlightRequests} from './in-flight-requests.js';

const head = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';
/** Larger than what the buffers of a loopback connection hold. */
const largeAnswer = 'x'.repeat(32 * 1024 * 1024);
/** Bytes after which a slow caller pauses. */
const pauseBytes = 2 * 1024 * 1024;

const createRequests = (unreadTimeout: Milliseconds = 60_000) => {
	const unreadStatuses: number[] = [];
	const requests = createInFlightRequests({
		unreadTimeout,
		onUnread({statusCode}) {
			unreadStatuses.push(statusCode);
		},
	});
	return {...requests, unreadStatuses};
};

const startServer = async (handle: (request: IncomingMessage, response: ServerResponse) => void): Promise<number> => {
	const server = createServer(handle);
	onTestFinished(() => {
		server.closeAllConnections();
		server.close();
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return (server.address() as AddressInfo).port;
};

const openCaller = async (port: number): Promise<Socket> => {
	const socket = connect(port, '127.0.0.1');
	await once(socket, 'connect');
	socket.pause();
	return socket;
};

// Guards against: a host ends when all handlers have ended, while the rest of an answer waits for a caller that reads slowly.
test('a request is open until its answer is written', async () => {
	const requests = createRequests();
	const port = await startServer((_request, response) => {
		const end = requests.begin(response, () => undefined);
		response.setHeader('connection', 'close');
		response.end(largeAnswer);
		end();
		end();
	});
	const caller = await openCaller(port);
	caller.write(head);
	await expect.poll(requests.getOpenCount).toBe(1);
	expect(requests.getCount()).toBe(0);
	const answer = await buffer(caller);
	expect(answer.length).toBeGreaterThan(largeAnswer.length);
	expect(requests.getOpenCount()).toBe(0);
});

test('a request whose answer is written at once is no longer open when its handler ends', async () => {
	const requests = createRequests();
	const counts: number[] = [];
	const port = await startServer((_request, response) => {
		const end = requests.begin(response, () => undefined);
		counts.push(requests.getCount(), requests.getOpenCount());
		response.end('a');
		end();
	});
	const caller = await openCaller(port);
	caller.write(head);
	await expect.poll(() => [...counts, requests.getCount(), requests.getOpenCount()]).toEqual([1, 1, 0, 0]);
	caller.destroy();
});

// Guards against: answers that wait behind another one of the same connection are counted for ever once the connection is gone.
test('requests of a connection that is gone are open only while their handlers run', async () => {
	const requests = createRequests();
	const ends: Array<() => void> = [];
	const port = await startServer((_request, response) => {
		ends.push(requests.begin(response, () => undefined));
		response.end(largeAnswer);
	});
	const caller = await openCaller(port);
	caller.write(head.repeat(2));
	await expect.poll(() => ends.length).toBe(2);
	ends[1]?.();
	expect(requests.getOpenCount()).toBe(2);
	caller.resetAndDestroy();
	await expect.poll(requests.getOpenCount).toBe(1);
	ends[0]?.();
	expect(requests.getOpenCount()).toBe(0);
});

// Guards against: a caller that never reads its answer keeps a host from ending.
test('the connection of a caller that does not read its answer is closed', async () => {
	const requests = createRequests(200);
	const port = await startServer((_request, response) => {
		const end = requests.begin(response, () => undefined);
		response.end(largeAnswer);
		end();
	});
	const caller = await openCaller(port);
	caller.on('error', () => undefined);
	caller.write(head);
	await expect.poll(requests.getOpenCount).toBe(1);
	await expect.poll(requests.getOpenCount).toBe(0);
	expect(requests.unreadStatuses).toEqual([200]);
	caller.destroy();
});

test('a caller that reads its answer slowly keeps its connection', async () => {
	const requests = createRequests(1000);
	const port = await startServer((_request, response) => {
		const end = requests.begin(response, () => undefined);
		response.setHeader('connection', 'close');
		response.end(largeAnswer);
		end();
	});
	const caller = await openCaller(port);
	caller.write(head);
	let read = 0;
	for await (const chunk of caller) {
		const {length} = chunk as Uint8Array;
		const isPause = Math.floor((read + length) / pauseBytes) > Math.floor(read / pauseBytes);
		read += length;
		await (isPause ? sleep(100) : undefined);
	}

	expect(read).toBeGreaterThan(largeAnswer.length);
	expect(requests.unreadStatuses).toEqual([]);
});
