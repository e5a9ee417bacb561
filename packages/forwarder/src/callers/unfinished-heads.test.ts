import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {createSystemClock} from '@gentianlift/clock';
import {createSilentLogger} from '@gentianlift/logger';
import {createMetrics} from '@gentianlift/metrics';
import {expect, onTestFinished, test} from 'vitest';
import {limitUnfinishedHeads, maxUnfinishedHeads} from './unfinished-heads.js';

/** Connections beyond the limit. */
const excess = 44;

/** Opens connections and sends text on each; returns how many are open. */
const openConnections = (port: number, count: number, text: string): () => number => {
	const open = new Set<Socket>();
	for (let index = 0; index < count; index += 1) {
		const socket = connect(port, '127.0.0.1');
		open.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			open.delete(socket);
		});
		socket.resume().write(text);
		onTestFinished(() => {
			socket.destroy();
		});
	}

	return () => open.size;
};

const startServer = async (): Promise<number> => {
	const server = createServer((_, response) => {
		response.end('ok');
	});
	limitUnfinishedHeads(server, {clock: createSystemClock(), logger: createSilentLogger(), metrics: createMetrics()});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	onTestFinished(() => {
		server.close();
	});
	return (server.address() as AddressInfo).port;
};

// Guards against: heads of which only a part has come are counted by nobody, and end the host for lack of memory.
test('of the connections with unfinished heads, those beyond the limit are closed, and none that is idle', async () => {
	const port = await startServer();
	const countIdle = openConnections(port, excess, 'GET / HTTP/1.1\r\nHost: a\r\n\r\n');
	const countUnfinished = openConnections(port, maxUnfinishedHeads + excess, 'GET / HTTP/1.1\r\nHost: a\r\n');
	await expect.poll(countUnfinished, {timeout: 2000}).toBe(maxUnfinishedHeads);
	expect(countIdle()).toBe(excess);
});
