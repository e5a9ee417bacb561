import type {Socket} from 'node:net';
import {expect, onTestFinished, test} from 'vitest';
import {startRawUpstream, type RawUpstream} from './testing-raw.js';

/** Body of a request, in bytes: more than a connection takes whose other end doesn't read. */
const uploadBytes = 12_000_000;
const upload = 'b'.repeat(uploadBytes);
const answer = 'HTTP/1.1 200 OK\r\n\r\npart';

/** Calls a service that answers at once and ends its side; returns how the response ended. */
const getOutcome = async (act: (socket: Socket) => void, body = upload): Promise<string> => {
	const {client, address}: RawUpstream = await startRawUpstream(socket => {
		act(socket.pause());
	}, onTestFinished);
	const response = await client.callService({
		address, method: 'POST', path: '/orders', headers: {}, body,
	});
	const {kind} = response.kind === 'answered' ? await response.outcome : response;
	return kind;
};

const endThen = (action: (socket: Socket) => void, delay: number) => (socket: Socket): void => {
	socket.end(answer, () => {
		setTimeout(action, delay, socket);
	});
};

const reset = (socket: Socket): void => {
	socket.resetAndDestroy();
};

const readOn = (socket: Socket): void => {
	socket.resume();
};

// Guards against: a part of a service's response is passed on as whole and kept as a booking's result, as its connection is reset after its end (issue 56).
test.each([5, 100])('a response without length that ends before the request is written, and is reset %i ms later, is not finished', async delay => {
	expect(await getOutcome(endThen(reset, delay))).toBe('reset');
});

test('a response without length that ends before the request is written is finished if that is read to its end', async () => {
	expect(await getOutcome(endThen(readOn, 30))).toBe('finished');
});

test('a response without length that ends before the request is written is silent if that is never read', async () => {
	expect(await getOutcome(socket => {
		socket.end(answer);
	})).toBe('silent');
});

test('a response with a length is finished before the request is written', async () => {
	expect(await getOutcome(socket => {
		socket.write('HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwell');
	})).toBe('finished');
});

// Guards against: a reset that arrives together with the last bytes is taken for an end in order.
test.each(['{}', upload])('a response without length that is reset right after its last byte is not finished', async body => {
	expect(await getOutcome(socket => {
		socket.write(answer, () => {
			socket.resetAndDestroy();
		});
	}, body)).toBe('reset');
});
