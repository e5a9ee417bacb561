import {Agent, request} from 'node:http';
import type {Socket} from 'node:net';
import {splitAddress} from '@gentianlift/types';
import {expect, onTestFinished, test} from 'vitest';
import {startRawServer, writeRaw} from './testing.js';
import {checkAnswer} from './index.js';

const requestCount = 30;

// Guards against: each request leaves listeners on its connection, which serves many.
test('a kept connection has no more listeners after many requests than after one', async () => {
	const server = await startRawServer((socket, _, index) => {
		writeRaw(socket, index % 2 === 0 ? 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}' : 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n');
	});
	const agent = new Agent({keepAlive: true, maxSockets: 1});
	onTestFinished(() => {
		agent.destroy();
		server.close();
	});
	const sockets = new Set<Socket>();
	const send = async (): Promise<Record<string, number>> => new Promise(resolve => {
		const outgoing = request({...splitAddress(server.address), agent, method: 'POST'});
		const check = checkAnswer(outgoing);
		let socket: Socket;
		outgoing.once('socket', given => {
			socket = given;
			sockets.add(given);
		});
		outgoing.once('response', message => {
			expect(check.getHeadFault(message)).toBe(undefined);
			message.resume();
		});
		outgoing.once('close', () => {
			expect([check.isBodyMalformed(), check.hasConnectionFailed()]).toEqual([false, false]);
			setImmediate(() => {
				resolve(Object.fromEntries(['data', 'end', 'close', 'error'].map(name => [name, socket.listenerCount(name)])));
			});
		});
		outgoing.end('{}');
	});
	const first = await send();
	for (let index = 1; index < requestCount; index++) {
		// eslint-disable-next-line no-await-in-loop -- One request after the other.
		expect(await send()).toEqual(first);
	}

	expect(sockets.size).toBe(1);
});
