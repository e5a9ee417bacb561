import type {Socket} from 'node:net';
import {expect, onTestFinished, test} from 'vitest';
import {createStubHostStarter} from '../links/testing-stub-hosts.js';
import {
	answerOk, createHostStarter, sum, type AnswerHandler,
} from '../test-deployment.js';
import {sendRequest, waitForEnd, type TestAnswer} from '../testing.js';

const start = createHostStarter(onTestFinished);
const startWithStubHosts = createStubHostStarter(onTestFinished);

const framings = ['Content-Length: 2', 'Content-Length: 0', 'Transfer-Encoding: chunked', 'Connection: close'];
const contentTypes = ['application/json', 'text/event-stream'];
const paths = ['read', 'book', 'stream', 'once'];
/** How an upstream goes on after a part of a head. */
const endings = ['closes', 'resets', 'is silent'] as const;
type Ending = typeof endings[number];

const buildHead = (framing: string, contentType: string): string =>
	`HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Type: ${contentType}\r\n${framing}\r\n\r\n`;

/** Returns the lengths at which a head is cut: each fifth byte, and those around the ends of lines. */
const getCuts = (head: string): number[] => {
	const lineEnds = [...head.matchAll(/\r\n/gv)].flatMap(({index}) => [index, index + 1, index + 2]);
	const fifths = Array.from({length: Math.floor(head.length / 5)}, (_, index) => index * 5);
	return [...new Set([...fifths, ...lineEnds])].filter(length => length < head.length);
};

/** Time in milliseconds after which a connection is reset, so that the bytes before have been read. */
const resetDelay = 10;

const end = (socket: Socket, ending: Ending): void => {
	if (ending === 'closes') {
		socket.end();
	} else if (ending === 'resets') {
		setTimeout(() => {
			socket.resetAndDestroy();
		}, resetDelay);
	}
};

/** Part of an answer's head, and what comes before it on its connection. */
type CutHead = {bytes: string; ending: Ending};

const heads = framings.flatMap(framing => contentTypes.flatMap(contentType => {
	const head = buildHead(framing, contentType);
	return getCuts(head).map(length => head.slice(0, length));
}));
const cutHeads: CutHead[] = endings.flatMap(ending => heads.map(bytes => ({bytes, ending})));

/** Writes the part of a head whose index the request's id names. */
const writeCutHead = (before: string): AnswerHandler => ({socket, headers}) => {
	const {bytes, ending} = cutHeads[Number(headers.attempt)]!;
	socket.write(before + bytes);
	end(socket, ending);
};

const requestsAtOnce = 40;

/** Sends a request for each part of a head; returns those that were answered as a success. */
const findSuccesses = async (port: number): Promise<Array<CutHead & Pick<TestAnswer, 'status'>>> => {
	const found: Array<CutHead & Pick<TestAnswer, 'status'>> = [];
	for (let first = 0; first < cutHeads.length; first += requestsAtOnce) {
		const batch = cutHeads.slice(first, first + requestsAtOnce);
		// eslint-disable-next-line no-await-in-loop -- Some requests at once.
		const answers = await Promise.all(batch.map(async (_, index) => {
			const attempt = String(first + index);
			const path = `/${paths[(first + index) % paths.length]}/${attempt}`;
			return sendRequest(port, {path, headers: {attempt, timeout: '150'}});
		}));
		found.push(...answers.flatMap(({status}, index) => status < 300 ? [{...batch[index]!, status}] : []));
	}

	return found;
};

// Guards against: an upstream that stops in the middle of its answer's head reaches a caller as an empty or short answer that is whole.
test.each([
	['at first', ''],
	['after informational answers', 'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n'],
])('a head that is cut is no answer: %s', async (_, before) => {
	const {host, counts} = await start(writeCutHead(before), writeCutHead(before));
	expect(await findSuccesses(host.port)).toEqual([]);
	expect(sum(counts)).toBeGreaterThanOrEqual(cutHeads.length);
});

test('a head that is cut on the way from another host is no answer', async () => {
	const {deployment: {host}, received} = await startWithStubHosts(writeCutHead(''), writeCutHead(''));
	expect(await findSuccesses(host.port)).toEqual([]);
	expect(received.length).toBeGreaterThanOrEqual(cutHeads.length);
});

const cutsOfOneHead = getCuts(buildHead('Content-Length: 0', 'application/json'));

/** Sends two requests, one after the other, to an upstream whose handler gets the number of the request on its connection. */
const sendTwo = async (answer: (socket: Socket, count: number, ...handled: Parameters<AnswerHandler>) => void) => {
	const counts = new Map<Socket, number>();
	const {host} = await start((request, response) => {
		const {socket} = request;
		const count = (counts.get(socket) ?? 0) + 1;
		counts.set(socket, count);
		answer(socket, count, request, response);
	});
	const first = await sendRequest(host.port, {path: '/once/1', headers: {attempt: 'a1'}});
	const second = await sendRequest(host.port, {path: '/once/2', headers: {attempt: 'a2'}});
	await waitForEnd(host, 'a2');
	return {first, second, mostOnOneConnection: Math.max(...counts.values())};
};

// Guards against: as before, on a connection whose earlier answer was whole.
test('a head that is cut on a kept connection is no answer', async () => {
	for (const length of cutsOfOneHead) {
		// eslint-disable-next-line no-await-in-loop -- One host at a time.
		const {first, second, mostOnOneConnection} = await sendTwo((socket, count, request, response) => {
			if (count === 1) {
				answerOk(request, response);
				return;
			}

			socket.write(buildHead('Content-Length: 0', 'application/json').slice(0, length));
			socket.end();
		});
		expect([first.status, second.status, mostOnOneConnection], String(length)).toEqual([200, 502, 2]);
	}
});

// Guards against: the rest of an answer that nobody has asked for, or its beginning, passes for that of the next request.
test('a part of a head in the packet of the answer before it belongs to no request', async () => {
	const wholeAnswer = `${buildHead('Content-Length: 2', 'application/json')}ok`;
	for (const length of cutsOfOneHead) {
		const part = buildHead('Content-Length: 0', 'application/json').slice(0, length);
		// eslint-disable-next-line no-await-in-loop -- One host at a time.
		const {first, second} = await sendTwo((socket, _, {headers}) => {
			socket.write(headers.attempt === 'a1' ? wholeAnswer + part : wholeAnswer);
		});
		expect([first.body, second.status, second.body], String(length)).toEqual(['ok', 200, 'ok']);
		// eslint-disable-next-line no-await-in-loop -- One host at a time.
		const closed = await sendTwo((socket, _, {headers}) => {
			socket.write(headers.attempt === 'a1' ? wholeAnswer + part : wholeAnswer);
			if (headers.attempt === 'a1') {
				socket.end();
			}
		});
		expect([closed.first.body, closed.second.status, closed.second.body], String(length)).toEqual(['ok', 200, 'ok']);
	}
});
