import {request, type ClientRequest, type ServerResponse} from 'node:http';
import {expect, onTestFinished, test} from 'vitest';
import {
	answerOk, createHostStarter, resetConnection, upstreamMark, type AnswerHandler,
} from './test-deployment.js';
import {sendRequest, waitForEnd, type TestHost} from './testing.js';

const start = createHostStarter(onTestFinished);

const failWithBody: AnswerHandler = (_, response) => {
	response.writeHead(500, upstreamMark);
	response.end('failed');
};

const beginStream = (response: ServerResponse): void => {
	response.writeHead(200, {...upstreamMark, 'content-type': 'text/event-stream'});
	response.write('id: 1\ndata: 1\n\n');
};

/** Begins a stream that doesn't end. */
const streamForever: AnswerHandler = (_, response) => {
	beginStream(response);
};

/** Leaves out an event. */
const skipEvent: AnswerHandler = (_, response) => {
	beginStream(response);
	response.end('id: 3\ndata: 3\n\n');
};

/** Requests a stream, and calls `onFirstBytes` when its first bytes have reached the caller. */
const requestStream = (host: TestHost, onFirstBytes: (outgoing: ClientRequest) => void): void => {
	const outgoing = request({
		port: host.port, host: '127.0.0.1', path: '/once/1', method: 'POST', headers: {attempt: 'a1'},
	}, message => {
		message.on('error', () => undefined);
		message.once('data', () => {
			onFirstBytes(outgoing);
		});
	});
	outgoing.on('error', () => undefined);
	outgoing.end();
};

test('a delivered answer is logged as whole', async () => {
	const {host} = await start(answerOk);
	await sendRequest(host.port, {path: '/book/1', headers: {attempt: 'a1'}});
	expect(await waitForEnd(host, 'a1')).toMatch(/outcome=delivered reason=200 answer=whole duration=/v);
});

test('an error answer of an upstream or of the router is logged as whole', async () => {
	const {host: failing} = await start(failWithBody);
	await sendRequest(failing.port, {path: '/read/1', headers: {attempt: 'a1'}});
	expect(await waitForEnd(failing, 'a1')).toMatch(/outcome=upstream-failure reason=status-500 answer=whole duration=/v);
	const {host: resetting} = await start(resetConnection);
	await sendRequest(resetting.port, {path: '/book/1', headers: {attempt: 'a1'}});
	expect(await waitForEnd(resetting, 'a1')).toMatch(/outcome=own-answer reason=upstream-reset answer=whole lastFailure=ECONNRESET duration=/v);
});

test('a cut stream is logged as partial, with the failure that ended it', async () => {
	let reset = (): void => undefined;
	const {host: resetting} = await start((received, response) => {
		reset = () => {
			received.socket.resetAndDestroy();
		};

		beginStream(response);
	});
	requestStream(resetting, () => {
		reset();
	});
	expect(await waitForEnd(resetting, 'a1')).toMatch(/outcome=cut reason=upstream-reset answer=partial lastFailure=ECONNRESET duration=/v);
	const {host: skipping} = await start(skipEvent);
	await sendRequest(skipping.port, {path: '/stream/1', headers: {attempt: 'a1'}});
	expect(await waitForEnd(skipping, 'a1')).toMatch(/outcome=cut reason=upstream-reset answer=partial lastFailure=event-missing duration=/v);
});

test('at the deadline a stream that had begun is logged as partial, an error answer as whole', async () => {
	const {host: streaming} = await start(streamForever);
	await sendRequest(streaming.port, {path: '/once/1', headers: {attempt: 'a1', timeout: '300'}});
	expect(await waitForEnd(streaming, 'a1')).toMatch(/outcome=timeout answer=partial duration=/v);
	const {host: silent} = await start(() => undefined);
	await sendRequest(silent.port, {path: '/book/1', headers: {attempt: 'a1', timeout: '300'}});
	expect(await waitForEnd(silent, 'a1')).toMatch(/outcome=timeout answer=whole duration=/v);
});

test('a caller that disconnects in the middle of a stream is logged with a partial answer', async () => {
	const {host} = await start(streamForever);
	requestStream(host, outgoing => {
		outgoing.destroy();
	});
	expect(await waitForEnd(host, 'a1')).toMatch(/outcome=caller-gone answer=partial duration=/v);
});

test('a caller that disconnects before the answer is logged without one, even if the upstream answers later', async () => {
	const {host} = await start((received, response) => {
		outgoing.destroy();
		setTimeout(answerOk, 300, received, response);
	});
	const outgoing = request({
		port: host.port, host: '127.0.0.1', path: '/book/1', method: 'POST', headers: {attempt: 'a1'},
	});
	outgoing.on('error', () => undefined);
	outgoing.end();
	expect(await waitForEnd(host, 'a1')).toMatch(/outcome=delivered reason=200 answer=none duration=/v);
});
