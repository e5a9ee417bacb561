import {createSystemClock} from '@gentianlift/clock';
import {
	answerText, buildOddAnswers, malformedLines, startRawServer, writeRaw, type RawHandler,
} from '@gentianlift/http/testing';
import {expect, onTestFinished, test} from 'vitest';
import {createJsonClient} from './json-client.js';
import {createKeyValueClient} from './key-value-client.js';

const startService = async (handle: RawHandler) => {
	const server = await startRawServer(handle);
	const options = {url: `http://${server.address}`, clock: createSystemClock(), timeout: 1000};
	const json = createJsonClient(options);
	const keyValue = createKeyValueClient(options);
	onTestFinished(() => {
		json.close();
		keyValue.close();
		server.close();
	});
	return {json, keyValue, getRequests: server.getRequests};
};

const oddAnswers = Object.entries(malformedLines).flatMap(([name, line]) => buildOddAnswers(name, line, 'Content-Type: application/json\r\n'));

// Guards against: a reply of the store or of another host counts although a line of its head is no field (issue 56).
test('a reply whose head has a line that is no field leaves a call unknown, and a sound one is read', async () => {
	for (const odd of oddAnswers) {
		// eslint-disable-next-line no-await-in-loop -- One service at a time.
		const {json, getRequests} = await startService(answerText(odd));
		// eslint-disable-next-line no-await-in-loop -- As above.
		const {kind} = await json.call({method: 'POST', path: '/', body: {}});
		expect([odd.name, kind, getRequests().length]).toEqual([odd.name, 'unknown', 1]);
	}

	for (const sound of buildOddAnswers('a sound line', 'X-A: sound', '')) {
		// eslint-disable-next-line no-await-in-loop -- One service at a time.
		const {json} = await startService(answerText(sound));
		// eslint-disable-next-line no-await-in-loop -- As above.
		expect(await json.call({method: 'POST', path: '/', body: {}})).toMatchObject({kind: 'answered', status: 200, body: {}});
	}
});

// Guards against: a write whose reply is none counts as applied, or as rejected without effect.
test('a write is unknown after a malformed head, whatever its status', async () => {
	const replies: Array<[status: number, body: string, sound: string]> = [
		[200, '{"revision":3}', 'applied'], [409, '{"revision":3}', 'rejected'], [429, '{}', 'unavailable'], [503, '{}', 'unavailable'],
	];
	for (const [status, body, sound] of replies) {
		for (const [line, expected] of [['X A: odd', 'unknown'], ['X-A: sound', sound]] as const) {
			// eslint-disable-next-line no-await-in-loop -- One service at a time.
			const {keyValue} = await startService(socket => {
				writeRaw(socket, `HTTP/1.1 ${status} X\r\n${line}\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
			});
			// eslint-disable-next-line no-await-in-loop -- As above.
			const {kind} = await keyValue.compareAndSwap({key: 'a', value: 'b', expected: 0});
			expect([status, line, kind]).toEqual([status, line, expected]);
		}
	}
});
