import {expect, test} from 'vitest';
import {createStreamWriter} from './response-writers.js';
import type {CallerStream} from './caller-stream.js';

const disconnectedStream: CallerStream = {
	begin: () => undefined,
	write: () => false,
	waitUntilWritable: async () => false,
	end: () => undefined,
	hasBegun: () => true,
	callerDisconnectedSignal: AbortSignal.abort(),
};

test('only the response to an idempotent request ends when its caller has disconnected', async () => {
	const write = (idempotent: boolean) => createStreamWriter({id: 'a.1.1', idempotent}, disconnectedStream, () => undefined);
	expect(await write(true).waitUntilWritable()).toBe(false);
	expect(await write(false).waitUntilWritable()).toBe(true);
});
