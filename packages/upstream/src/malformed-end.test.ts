import {malformedChunks, soundChunks, writeRaw} from '@gentianlift/http/testing';
import {expect, onTestFinished, test} from 'vitest';
import {startRawUpstream, type RawUpstream} from './testing-raw.js';

const head = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';

const start = async (chunks: string): Promise<RawUpstream> => startRawUpstream(socket => {
	writeRaw(socket, head + chunks);
}, onTestFinished);

/** Returns how the body of a service's response ended. */
const getOutcome = async (chunks: string): Promise<string> => {
	const {client, address} = await start(chunks);
	const response = await client.callService({
		address, method: 'POST', path: '/orders', headers: {}, body: '{}',
	});
	const {kind} = response.kind === 'answered' ? await response.outcome : response;
	return kind;
};

// Guards against: a body in chunks whose end isn't one is passed on as whole and kept as a booking's result (issue 56).
test('a service\'s response with a malformed end is not finished, and a sound one is', async () => {
	for (const [name, chunks] of Object.entries(malformedChunks)) {
		// eslint-disable-next-line no-await-in-loop -- One upstream at a time.
		expect([name, await getOutcome(chunks)]).toEqual([name, 'reset']);
	}

	expect(await getOutcome(soundChunks)).toBe('finished');
});

// Guards against: an order or a health check counts as answered by a body whose end isn't one.
test('a short answer with a malformed end is none, and a sound one is read', async () => {
	const call = async (chunks: string): Promise<string[]> => {
		const {client, address} = await start(chunks);
		const {kind} = await client.sendOrder(address, {fencing: 1} as never);
		return [kind, String(await client.checkHealth(address))];
	};

	for (const [name, chunks] of Object.entries(malformedChunks)) {
		// eslint-disable-next-line no-await-in-loop -- One upstream at a time.
		expect([name, ...await call(chunks)]).toEqual([name, 'unknown', 'reset']);
	}

	expect(await call(soundChunks)).toEqual(['accepted', 'success']);
});
