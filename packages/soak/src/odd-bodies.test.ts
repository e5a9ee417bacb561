import {createServer, type AddressInfo, type Socket} from 'node:net';
import {expect, onTestFinished, test} from 'vitest';
import {startOddCallers} from './odd-bodies.js';

/** Starts a server that records the number of bytes that each connection has sent. */
const startServer = async (): Promise<{address: string; sockets: Socket[]; getSizes: () => number[]}> => {
	const sockets: Socket[] = [];
	const server = createServer(socket => {
		sockets.push(socket);
		socket.on('error', () => undefined);
		socket.resume();
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	onTestFinished(() => {
		server.close();
	});
	return {address: `127.0.0.1:${(server.address() as AddressInfo).port}`, sockets, getSizes: () => sockets.map(({bytesRead}) => bytesRead)};
};

// Guards against: odd callers that end with their first connection, so that a host which closes it is rid of them.
test('odd callers send whole or unfinished bodies, and again when they are cut, until they are stopped', async () => {
	const {address, sockets, getSizes} = await startServer();
	const start = (isWhole: boolean): (() => void) => startOddCallers({
		address, bodies: {count: 2, size: 1000, isWhole}, path: '/', headers: {caller: '{caller}'},
	});
	const headSize = 'POST / HTTP/1.1\r\ncaller: 0\r\ncontent-length: 1000\r\n\r\n'.length;
	const stops = [start(true), start(false)];
	onTestFinished(() => {
		for (const stop of stops) {
			stop();
		}
	});
	await expect.poll(() => getSizes().toSorted((left, right) => left - right), {timeout: 4000}).toEqual([headSize + 990, headSize + 990, headSize + 1000, headSize + 1000]);
	sockets[0]?.destroy();
	await expect.poll(() => sockets.length, {timeout: 3000}).toBe(5);
	for (const stop of stops) {
		stop();
	}

	await expect.poll(() => sockets.every(({closed}) => closed), {timeout: 2000}).toBe(true);
});
