import {expect, test} from 'vitest';
import {createStreamWriter} from './chat-writer.js';
import type {CallerStream} from './caller-stream.js';

const gone: CallerStream = {
	begin: () => undefined,
	write: () => false,
	drained: async () => false,
	end: () => undefined,
	hasBegun: () => true,
	gone: AbortSignal.abort(),
};

test('only an idempotent answer ends when its caller has gone', async () => {
	const write = (idempotent: boolean) => createStreamWriter({id: 'a.1.1', idempotent}, gone, () => undefined);
	expect(await write(true).drained()).toBe(false);
	expect(await write(false).drained()).toBe(true);
});
