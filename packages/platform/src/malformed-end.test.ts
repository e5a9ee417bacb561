import {createSystemClock} from '@gentianlift/clock';
import {
	malformedChunks, soundChunks, startRawServer, writeRaw,
} from '@gentianlift/http/testing';
import {expect, onTestFinished, test} from 'vitest';
import {createJsonClient, type JsonOutcome} from './json-client.js';

const call = async (chunks: string): Promise<JsonOutcome> => {
	const server = await startRawServer(socket => {
		writeRaw(socket, `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${chunks}`);
	});
	const client = createJsonClient({url: `http://${server.address}`, clock: createSystemClock(), timeout: 1000});
	onTestFinished(() => {
		client.close();
		server.close();
	});
	return client.call({method: 'POST', path: '/', body: {}});
};

// Guards against: a reply of the store or of another host counts although its end isn't one (issue 56).
test('a reply in chunks with a malformed end leaves a call unknown, and a sound one is read', async () => {
	for (const [name, chunks] of Object.entries(malformedChunks)) {
		// eslint-disable-next-line no-await-in-loop -- One service at a time.
		const {kind} = await call(chunks);
		expect([name, kind]).toEqual([name, 'unknown']);
	}

	expect(await call(soundChunks)).toMatchObject({kind: 'answered', status: 200, body: {}});
});
