import {unknownCodings, writeRaw} from '@gentianlift/http/testing';
import {expect, onTestFinished, test} from 'vitest';
import {startRawUpstream} from './testing-raw.js';

/** Calls a service whose response is in a coding, and asks for its health; returns the kinds of both outcomes. */
const call = async (coding: string): Promise<unknown[]> => {
	const {client, address} = await startRawUpstream(socket => {
		writeRaw(socket, `HTTP/1.1 200 OK\r\nTransfer-Encoding: ${coding}\r\n\r\n2\r\n{}\r\n0\r\n\r\n`);
	}, onTestFinished);
	const {kind} = await client.callService({
		address, method: 'POST', path: '/orders', headers: {}, body: '{}',
	});
	return [kind, await client.checkHealth(address)];
};

// Guards against: a body in a coding that the router doesn't take off is passed on and kept as a booking's result (issue 56).
test('a response in another transfer coding than chunks is none, and one in chunks is read', async () => {
	for (const coding of unknownCodings) {
		// eslint-disable-next-line no-await-in-loop -- One upstream at a time.
		expect([coding, ...await call(coding)]).toEqual([coding, 'reset', 'reset']);
	}

	expect(await call('chunked')).toEqual(['answered', 'success']);
});
