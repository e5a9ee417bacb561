import type {Socket} from 'node:net';
import {createSystemClock} from '@gentianlift/clock';
import {startRawServer} from '@gentianlift/http/testing';
import {expect, onTestFinished, test} from 'vitest';
import {createJsonClient} from './json-client.js';

/** Body of a call, in bytes: more than a connection takes whose other end doesn't read. */
const bodyBytes = 12_000_000;
const large = {value: 'b'.repeat(bodyBytes)};
const reply = 'HTTP/1.1 200 OK\r\n\r\n{"revision":1}';

/** Makes a call to a service that acts on the connection when the head of the call has come; returns the outcome's kind. */
const call = async (act: (socket: Socket) => void, body: unknown): Promise<string> => {
	const server = await startRawServer(socket => {
		act(socket.pause());
	});
	const client = createJsonClient({url: `http://${server.address}`, clock: createSystemClock(), timeout: 1000});
	onTestFinished(() => {
		client.close();
		server.close();
	});
	const {kind} = await client.call({method: 'POST', path: '/', body});
	return kind;
};

const endThen = (action: (socket: Socket) => void, delay: number) => (socket: Socket): void => {
	socket.end(reply, () => {
		setTimeout(action, delay, socket);
	});
};

const reset = (socket: Socket): void => {
	socket.resetAndDestroy();
};

const writeAndReset = (delay: number) => (socket: Socket): void => {
	socket.write(reply, () => {
		setTimeout(reset, delay, socket);
	});
};

// Guards against: a write counts as applied by a reply whose connection was reset before the write was sent (issue 56).
test.each([5, 100])('a reply without length that ends before the call is written, and is reset %i ms later, leaves it unknown', async delay => {
	expect(await call(endThen(reset, delay), large)).toBe('unknown');
});

test('a reply without length that ends before the call is written is read if the call is read to its end', async () => {
	expect(await call(endThen(socket => {
		socket.resume();
	}, 30), large)).toBe('answered');
});

test('a reply without length that ends before the call is written leaves it unknown if the call is never read', async () => {
	expect(await call(socket => {
		socket.end(reply);
	}, large)).toBe('unknown');
});

// Guards against: a reply without length counts although its connection is reset.
test.each([0, 20])('a reply without length that is reset after %i ms leaves its call unknown, and one that ends in order is read', async delay => {
	expect(await call(writeAndReset(delay), {})).toBe('unknown');
	expect(await call(socket => {
		socket.end(reply);
	}, {})).toBe('answered');
});
