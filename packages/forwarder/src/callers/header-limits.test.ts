import {expect, onTestFinished, test} from 'vitest';
import {answerOk, createHostStarter} from '../test-deployment.js';
import {sendRequest} from '../testing.js';

const start = createHostStarter(onTestFinished);

const buildHeaders = (count: number): Record<string, string> => Object.fromEntries(Array.from({length: count}, (_, number) => [`x${number}`, 'a']));

// Guards against: the header fields of callers' requests, each of which takes many times its bytes, exceed the memory of a host while the requests wait.
test('a request with too many header fields is refused', async () => {
	const {host, counts} = await start(answerOk);
	const {status} = await sendRequest(host.port, {path: '/read/1', headers: buildHeaders(900)});
	expect(status).toBe(431);
	expect(counts).toEqual([0]);
	const {status: usual} = await sendRequest(host.port, {path: '/read/1', headers: {attempt: 'a1', ...buildHeaders(100)}});
	expect(usual).toBe(200);
});
