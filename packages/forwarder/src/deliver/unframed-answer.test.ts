import {connect, createServer, type AddressInfo} from 'node:net';
import {buildUpstream} from '@gentianlift/routing/testing';
import {expect, onTestFinished, test} from 'vitest';
import {createHostStarter} from '../test-deployment.js';
import {sendRequest} from '../testing.js';
import {answerRaw, type RawAnswer} from './testing-answers.js';

const start = createHostStarter(onTestFinished);

const events = 'id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n';
const partialEvent = 'id: 3\nda';

/** What a caller's connection shows of an answer. */
type Seen = 'whole' | 'cut' | 'error';

/** Returns what a caller sees of an upstream's answer. */
const getSeen = async (path: string, answer: RawAnswer): Promise<Seen> => {
	const {host} = await start(answerRaw(answer));
	const {status, isComplete} = await sendRequest(host.port, {path, headers: {attempt: 'a1'}});
	if (status !== 200) {
		return 'error';
	}

	return isComplete ? 'whole' : 'cut';
};

type Case = readonly [RawAnswer['framing'], RawAnswer['ending']];

/** Returns what a caller sees of a stream by its framing and its ending. */
const getSeenOfStream = async (path: string, body: string, cases: readonly Case[]): Promise<Seen[]> => Promise.all(cases.map(async ([framing, ending]) => getSeen(path, {
	framing, contentType: 'text/event-stream', body, ending,
})));

const endings = [['length', 'framed'], ['chunks', 'framed'], ['close', 'closed']] as const;
const losses = [['length', 'closed'], ['chunks', 'closed'], ['length', 'reset'], ['chunks', 'reset'], ['close', 'reset']] as const;
const streamPaths = ['/once/1', '/stream/1'];

test.each(streamPaths)('a stream that ends after its last event is whole: %s', async path => {
	expect(await getSeenOfStream(path, events, endings)).toEqual(['whole', 'whole', 'whole']);
});

// Guards against: a stream that may not be resumed and is broken off inside an event reaches its caller as complete.
test.each(streamPaths)('a stream that ends inside an event is cut, whatever marks its end: %s', async path => {
	expect(await getSeenOfStream(path, events + partialEvent, endings)).toEqual(['cut', 'cut', 'cut']);
});

test.each(streamPaths)('a stream whose connection is lost is cut: %s', async path => {
	expect(await getSeenOfStream(path, events, losses)).toEqual(['cut', 'cut', 'cut', 'cut', 'cut']);
	expect(await getSeenOfStream(path, events + partialEvent, losses)).toEqual(['cut', 'cut', 'cut', 'cut', 'cut']);
});

// Guards against: a stream that is broken off before its first event reaches its caller as an empty one that is complete.
test.each(streamPaths)('a stream without length or chunks that ends before its first event is not whole: %s', async path => {
	expect(await getSeenOfStream(path, '', [['close', 'closed'], ['close', 'reset']])).toEqual(['error', 'error']);
});

// Guards against: the events of a stream with other line ends aren't recognized, so that a whole stream is taken for a cut one.
test.each(['\r\n', '\r'])('a stream with other line ends is whole after its last event, and cut inside one (%j)', async lineEnd => {
	const stream = events.replaceAll('\n', lineEnd);
	const partial = stream + partialEvent.replaceAll('\n', lineEnd);
	for (const path of streamPaths) {
		// eslint-disable-next-line no-await-in-loop -- Few cases, one host at a time.
		expect(await getSeenOfStream(path, stream, endings)).toEqual(['whole', 'whole', 'whole']);
		// eslint-disable-next-line no-await-in-loop -- As above.
		expect(await getSeenOfStream(path, partial, endings)).toEqual(['cut', 'cut', 'cut']);
	}
});

test.each(['/read/1', '/book/1'])('an answer that is no stream is whole at its end, also with its connection, and an error if the connection is lost: %s', async path => {
	const getSeenOfAnswer = async ([framing, ending]: Case): Promise<Seen> => getSeen(path, {
		framing, contentType: 'application/json', body: '{"a":1}', ending,
	});
	expect(await Promise.all(endings.map(async item => getSeenOfAnswer(item)))).toEqual(['whole', 'whole', 'whole']);
	expect(await Promise.all(losses.map(async item => getSeenOfAnswer(item)))).toEqual(['error', 'error', 'error', 'error', 'error']);
});

/** Requests a path with HTTP/1.0, and returns whether the connection ended with a reset. */
const isResetForOldCaller = async (port: number, path: string): Promise<boolean> => new Promise(resolve => {
	const socket = connect(port, '127.0.0.1');
	socket.write(`POST ${path} HTTP/1.0\r\nHost: a.example\r\nAttempt: a1\r\nContent-Length: 0\r\n\r\n`);
	socket.resume();
	socket.once('error', () => {
		resolve(true);
	});
	socket.once('close', () => {
		resolve(false);
	});
});

// Guards against: a cut answer looks complete to a caller of HTTP/1.0, for which the close of the connection is the end of a body.
test('a cut answer ends with a reset for a caller that knows no chunks', async () => {
	const {host: cut} = await start(answerRaw({
		framing: 'chunks', contentType: 'text/event-stream', body: events + partialEvent, ending: 'closed',
	}));
	expect(await isResetForOldCaller(cut.port, '/once/1')).toBe(true);
	const {host: whole} = await start(answerRaw({
		framing: 'chunks', contentType: 'text/event-stream', body: events, ending: 'framed',
	}));
	expect(await isResetForOldCaller(whole.port, '/once/1')).toBe(false);
});

// Guards against: a stream without length or chunks that the host itself gives up on, as its upstream is silent, reaches its caller as complete.
test('a stream that the host ends after a silence is cut', async () => {
	const {host} = await start(({socket, headers}) => {
		socket.write(`HTTP/1.1 200 OK\r\nSigned: 1\r\nAttempt: ${headers.attempt as string}\r\nContent-Type: text/event-stream\r\n\r\n${events}`);
	});
	expect(await sendRequest(host.port, {path: '/stream/1', headers: {attempt: 'a1'}})).toMatchObject({body: events, isComplete: false});
});

// Guards against: an upstream that crashes in a stream without length or chunks isn't found out, so that its request crashes others, too.
test('an upstream that is gone after it broke off a stream without length or chunks has crashed', async () => {
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			server.close();
			socket.end(`HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Type: text/event-stream\r\n\r\n${events}${partialEvent}`);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {host} = await start();
	host.setUpstreams([buildUpstream({address: `127.0.0.1:${(server.address() as AddressInfo).port}`})]);
	await sendRequest(host.port, {path: '/once/1', headers: {attempt: 'a1'}});
	await expect.poll(() => host.logLines.some(line => line.includes('event=upstream-crashed request=a1 '))).toBe(true);
});
