import {malformedLines, writeRaw} from '@gentianlift/http/testing';
import {expect, onTestFinished, test} from 'vitest';
import {createStubHostStarter} from '../links/testing-stub-hosts.js';
import {waitForEnd} from '../testing.js';
import {createRawStarter, sendRawRequest, type RawAnswer} from '../testing-raw.js';

const start = createRawStarter(onTestFinished);
const startWithStubHosts = createStubHostStarter(onTestFinished);

const event = 'id: 1\ndata: 1\n\n';
const size = event.length.toString(16);
const lastChunk = '0\r\n';

/** Ends of a body in chunks that HTTP doesn't have, each behind the size of a chunk of one event. */
const malformedEnds: Array<[name: string, text: string]> = [
	['other bytes behind a chunk', `\r\n${event}XX${lastChunk}\r\n`],
	['a line end of another second byte behind a chunk', `\r\n${event}\rX${lastChunk}\r\n`],
	['a line end of another second byte behind a size', `\rX${event}\r\n${lastChunk}\r\n`],
	['a line end of one byte at the end', `\r\n${event}\r\n${lastChunk}\n`],
	['a line end of another second byte at the end', `\r\n${event}\r\n${lastChunk}\rX`],
	...Object.entries(malformedLines).map(([name, line]): [string, string] => [`a trailer with ${name}`, `\r\n${event}\r\n${lastChunk}${line}\r\n\r\n`]),
];

const soundEnds: Array<[name: string, text: string]> = [
	['no trailer', `\r\n${event}\r\n${lastChunk}\r\n`],
	['a trailer', `\r\n${event}\r\n${lastChunk}X-A: sound\r\nX-B:\r\n\r\n`],
	['a size with an extension', `;a=b\r\n${event}\r\n000\r\n\r\n`],
	['several chunks', `\r\n${event}\r\nA\r\nid: 2\ndata\r\n5\r\n: 2\n\n\r\n${lastChunk}\r\n`],
];

const getAnswer = (contentType: string, end: string): string => `HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Type: ${contentType}\r\nTransfer-Encoding: chunked\r\n\r\n${size}${end}`;

const paths: Array<[path: string, contentType: string]> = [
	['/read/1', 'application/json'], ['/book/1', 'application/json'], ['/once/1', 'text/event-stream'], ['/stream/1', 'text/event-stream'],
];

/** Whether a caller got an answer that looks whole. */
const isWhole = ({status, text}: RawAnswer): boolean => status === '200' && (text.endsWith('\r\n0\r\n\r\n') || text.includes('\r\nContent-Length: '));

/** Returns the paths on which callers got an answer that looks whole. */
const findWhole = async (port: number): Promise<string[]> => {
	const whole = await Promise.all(paths.map(async ([path], index) => isWhole(await sendRawRequest(port, {path, attempt: String(index)})) ? [path] : []));
	return whole.flat();
};

// Guards against: an answer in chunks whose end isn't one reaches its caller as whole (issue 56).
test.each(malformedEnds)('an answer in chunks isn\'t whole with %s', async (_, end) => {
	const {host} = await start((socket, request) => {
		const [, contentType] = paths.find(([path]) => request.includes(path))!;
		writeRaw(socket, getAnswer(contentType, end));
	});
	expect(await findWhole(host.port)).toEqual([]);
	for (const index of paths.keys()) {
		// eslint-disable-next-line no-await-in-loop -- One line after the other.
		expect(await waitForEnd(host, String(index))).toMatch(/ (?:lastFailure|reason)=(?:end-malformed|HPE_\w+) /v);
	}
});

test.each(malformedEnds)('an answer in chunks isn\'t whole over another host with %s', async (_, end) => {
	const {deployment: {host}} = await startWithStubHosts(({socket, headers}) => {
		writeRaw(socket, getAnswer(paths[Number(headers.attempt)]![1], end));
	});
	expect(await findWhole(host.port)).toEqual([]);
});

test.each(soundEnds)('an answer in chunks is whole with %s, however it is split', async (_, end) => {
	const {host} = await start((socket, request) => {
		const [, contentType] = paths.find(([path]) => request.includes(path))!;
		writeRaw(socket, getAnswer(contentType, end));
	});
	expect(await findWhole(host.port)).toEqual(paths.map(([path]) => path));
	const {host: slow} = await start((socket, request) => {
		const [, contentType] = paths.find(([path]) => request.includes(path))!;
		const bytes = [...getAnswer(contentType, end)];
		socket.setNoDelay(true);
		const timer = setInterval(() => {
			const byte = bytes.shift();
			if (byte === undefined) {
				clearInterval(timer);
			} else {
				writeRaw(socket, byte);
			}
		}, 1);
	});
	expect(await findWhole(slow.port)).toEqual(paths.map(([path]) => path));
});
