import {once} from 'node:events';
import {connect} from 'node:net';
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

// Guards against: the heads of refused requests are held until their bodies have come, and end the host for lack of memory.
test('a request with too many header fields is refused before its body has come', async () => {
	const {host} = await start(answerOk);
	const socket = connect({host: '127.0.0.1', port: host.port});
	onTestFinished(() => {
		socket.destroy();
	});
	const fields = Object.keys(buildHeaders(900)).map(name => `${name}: a\r\n`).join('');
	socket.write(`POST /read/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n${fields}\r\n`);
	const [bytes] = await once(socket, 'data') as [Uint8Array];
	expect(String(bytes)).toMatch(/^HTTP\/1\.1 431/v);
});

// Guards against: heads far above the configured size are received, and several of them take the memory of many requests.
test('an unfinished head above the configured size is refused', async () => {
	const {host} = await start(answerOk);
	const socket = connect({host: '127.0.0.1', port: host.port});
	onTestFinished(() => {
		socket.destroy();
	});
	socket.write(`GET /read/1 HTTP/1.1\r\nHost: a\r\nX-A: ${'b'.repeat(30_000)}`);
	const [bytes] = await once(socket, 'data') as [Uint8Array];
	expect(String(bytes)).toMatch(/^HTTP\/1\.1 431/v);
});
