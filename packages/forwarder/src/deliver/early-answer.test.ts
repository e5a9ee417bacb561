import type {Socket} from 'node:net';
import type {Milliseconds} from '@gentianlift/types';
import {writeRaw, type RawHandler} from '@gentianlift/http/testing';
import {expect, onTestFinished, test} from 'vitest';
import {createStubHostStarter} from '../links/testing-stub-hosts.js';
import {configuration} from '../test-deployment.js';
import {sendRequest, waitForEnd, type TestHost} from '../testing.js';
import {createRawStarter} from '../testing-raw.js';
import {wholeStream, writeEvents} from './testing-streams.js';

const largeBodies = {...configuration, limits: {...configuration.limits, maxBodyBytes: 16_000_000}};
/** Body of a request, in bytes: more than a connection takes whose other end doesn't read. */
const uploadBytes = 12_000_000;
const upload = 'b'.repeat(uploadBytes);
/** Time after the answer at which an upstream resets the connection. */
const resetDelay: Milliseconds = 30;
const paths = ['/read/1', '/book/1', '/once/1', '/stream/1'];

const start = createRawStarter(onTestFinished, largeBodies);
const startWithStubHosts = createStubHostStarter(onTestFinished, largeBodies);

const getText = (status: string, framing = ''): string =>
	`HTTP/1.1 ${status} X\r\nSigned: 1\r\nAttempt: a1\r\n${framing}\r\nid: 1\ndata: 1\n\n`;

/** Starts a host whose only upstream reads a head and then acts on the connection. */
const startWith = async (handle: RawHandler): Promise<TestHost> => {
	const {host} = await start(handle);
	return host;
};

/** Sends a request with a long body; returns whether its caller got a whole success. */
const getsWhole = async (host: TestHost, path: string): Promise<boolean> => {
	const {status, isComplete} = await sendRequest(host.port, {
		path, method: 'POST', headers: {attempt: 'a1'}, body: upload,
	});
	return status === 200 && isComplete;
};

const resetLater = (socket: Socket, delay: Milliseconds): void => {
	setTimeout(() => {
		socket.resetAndDestroy();
	}, delay);
};

// Guards against: the part of an answer that came before a reset reaches its caller as a whole one.
test.each(paths)('an answer without length that is reset while the request is being written is cut: %s', async path => {
	const host = await startWith(socket => {
		socket.pause().write(getText('200'), () => {
			resetLater(socket, resetDelay);
		});
	});
	expect(await getsWhole(host, path)).toBe(false);
});

test.each(paths)('an answer without length that is reset right after its last byte is cut: %s', async path => {
	const host = await startWith(socket => {
		socket.pause().write(getText('200'), () => {
			socket.resetAndDestroy();
		});
	});
	expect(await getsWhole(host, path)).toBe(false);
});

test.each(paths)('a later answer on a kept connection that is reset while its request is being written is cut: %s', async path => {
	let answers = 0;
	const host = await startWith((socket, head) => {
		answers += 1;
		if (head.includes('/first')) {
			socket.write(`${getText('200', 'Content-Length: 15\r\n')}`);
			return;
		}

		socket.pause().write(getText('200'), () => {
			resetLater(socket, resetDelay);
		});
	});
	await sendRequest(host.port, {path: `${path}/first`, headers: {attempt: 'a1'}});
	expect(await getsWhole(host, path)).toBe(false);
	expect(answers).toBeGreaterThan(1);
});

/** Delays after the end of an upstream's side at which it resets the connection. */
const delaysAfterEnd: Milliseconds[] = [5, 100];
const pathsAndDelays = paths.flatMap(path => delaysAfterEnd.map(delay => ({path, delay})));

// Guards against: an answer whose upstream ends its side and then resets the connection reaches its caller as whole, as the reset comes after the verdict (issue 56).
test.each(pathsAndDelays)('an answer without length that ends before its request is written, and is reset $delay ms later, is cut: $path', async ({path, delay}) => {
	const host = await startWith(socket => {
		socket.pause().end(getText('200'), () => {
			resetLater(socket, delay);
		});
	});
	expect(await getsWhole(host, path)).toBe(false);
	expect(await waitForEnd(host, 'a1')).toMatch(/framing=close ending=reset /v);
});

test.each(pathsAndDelays)('such an answer on a kept connection is cut: $path, $delay ms', async ({path, delay}) => {
	const connections = new Set<Socket>();
	const host = await startWith((socket, head) => {
		connections.add(socket);
		if (head.includes('/first')) {
			socket.write(getText('200', 'Content-Length: 15\r\n'));
			return;
		}

		socket.pause().end(getText('200'), () => {
			resetLater(socket, delay);
		});
	});
	await sendRequest(host.port, {path: `${path}/first`, headers: {attempt: 'a0'}});
	expect(await getsWhole(host, path)).toBe(false);
});

test.each(pathsAndDelays)('such an answer of another host is cut: $path, $delay ms', async ({path, delay}) => {
	const {deployment: {host}} = await startWithStubHosts(({socket}) => {
		socket.end(getText('200'), () => {
			resetLater(socket, delay);
		});
	});
	expect(await getsWhole(host, path)).toBe(false);
});

// An upstream may answer before it has read a request, and a close in order ends an answer without length (RFC 9112, section 8).
test.each(paths)('an answer without length that ends before its request is written is whole if the request is then read to its end: %s', async path => {
	const host = await startWith(socket => {
		socket.pause().end(getText('200'), () => {
			setTimeout(() => {
				socket.resume();
			}, resetDelay);
		});
	});
	expect(await getsWhole(host, path)).toBe(true);
	expect(await waitForEnd(host, 'a1')).toMatch(/framing=close ending=closed /v);
});

test.each(paths)('such an answer of another host is whole if the request is then read to its end: %s', async path => {
	const {deployment: {host}} = await startWithStubHosts((request, {socket}) => {
		socket!.end(getText('200'));
		setTimeout(() => {
			request.resume();
		}, resetDelay);
	});
	expect(await getsWhole(host, path)).toBe(true);
});

// Nothing tells that the upstream took the request: its outcome is unknown at the deadline of the call.
test.each(paths)('an answer without length that ends before its request is written is cut at the deadline if the request is never read: %s', async path => {
	const host = await startWith(socket => {
		socket.pause().end(getText('200'));
	});
	const {status, isComplete} = await sendRequest(host.port, {
		path, method: 'POST', headers: {attempt: 'a1', timeout: '600'}, body: upload,
	});
	expect(status === 200 && isComplete).toBe(false);
	expect(await waitForEnd(host, 'a1')).toContain(' outcome=timeout ');
});

test.each(paths)('an answer that has a length is whole before its request is written: %s', async path => {
	const host = await startWith(socket => {
		socket.pause().write(getText('200', 'Content-Length: 15\r\n'));
	});
	expect(await getsWhole(host, path)).toBe(true);
});

test.each(paths)('an answer that has no body is whole before its request is written: %s', async path => {
	const host = await startWith(socket => {
		socket.pause().write('HTTP/1.1 204 X\r\nSigned: 1\r\nAttempt: a1\r\n\r\n');
	});
	const {status, isComplete} = await sendRequest(host.port, {
		path, method: 'POST', headers: {attempt: 'a1'}, body: upload,
	});
	expect([status, isComplete]).toEqual([204, true]);
});

// Guards against: a booking is sent again, or its outcome told, after such an answer.
test('a booking with such an answer is sent once, and its outcome is unknown', async () => {
	const answerEarly: RawHandler = socket => {
		socket.pause().end(getText('200'), () => {
			resetLater(socket, 5);
		});
	};

	const {host, upstreams} = await start(answerEarly, answerEarly);
	const {status} = await sendRequest(host.port, {
		path: '/book/1', method: 'POST', headers: {attempt: 'a1'}, body: upload,
	});
	expect([status, upstreams.flatMap(({getRequests}) => getRequests()).length]).toEqual([502, 1]);
});

const streamHead = 'HTTP/1.1 200 X\r\nSigned: 1\r\nContent-Type: text/event-stream\r\n\r\n';

/** Sends a stream over three upstreams, each of which handles the request after the events that its caller has. */
const sendStream = async (...handlers: Array<(socket: Socket) => void>) => {
	let next = 0;
	const handle: RawHandler = socket => {
		const handler = handlers[next];
		next += 1;
		handler?.(socket);
	};

	const {host} = await start(handle, handle, handle);
	const {body, isComplete} = await sendRequest(host.port, {
		path: '/thrice/1', method: 'POST', headers: {attempt: 'a1'}, body: upload,
	});
	return {body, isComplete, attempts: next};
};

/** Breaks off after two events. */
const breakOff = (socket: Socket): void => {
	writeRaw(socket, streamHead + writeEvents(1, 2));
	resetLater(socket, resetDelay);
};

const finish = (socket: Socket): void => {
	socket.end(streamHead + writeEvents(4, 4));
};

// Guards against: a stream that another upstream takes up ends with the part that this one sent before it reset the connection.
test('a stream goes on at a third upstream if the second one ends its side and resets the connection', async () => {
	const endAndReset = (socket: Socket): void => {
		socket.pause().end(streamHead + writeEvents(3, 3), () => {
			resetLater(socket, 5);
		});
	};

	expect(await sendStream(breakOff, endAndReset, finish)).toEqual({body: wholeStream, isComplete: true, attempts: 3});
});

test('a stream ends at the second upstream if that reads the request to its end', async () => {
	const endAndRead = (socket: Socket): void => {
		socket.pause().end(streamHead + writeEvents(3, 4));
		setTimeout(() => {
			socket.resume();
		}, resetDelay);
	};

	expect(await sendStream(breakOff, endAndRead)).toEqual({body: wholeStream, isComplete: true, attempts: 2});
});

test.each([false, true])('a stream that its caller resumes is whole only if its request was read: %s', async isRead => {
	const host = await startWith(socket => {
		socket.pause().end(streamHead + writeEvents(3, 4), () => {
			setTimeout(() => {
				if (isRead) {
					socket.resume();
				} else {
					socket.resetAndDestroy();
				}
			}, resetDelay);
		});
	});
	host.context.streamOrigins.add({request: 'a0', service: 's', softwareVersion: 'v1'}, host.context.clock.monotonic());
	const {body, isComplete} = await sendRequest(host.port, {
		path: '/stream/1', method: 'POST', headers: {attempt: 'a1', 'last-event': '2', resumes: 'a0'}, body: upload,
	});
	expect([body, isComplete]).toEqual([writeEvents(3, 4), isRead]);
});

// Guards against: an answer whose status is none reaches a caller.
test.each(['000', '001', '099', '600', '999'])('an answer with the status %s is none', async status => {
	const host = await startWith(socket => {
		socket.write(getText(status, 'Content-Length: 15\r\n'));
	});
	const answers = await Promise.all(paths.map(async path => sendRequest(host.port, {path, headers: {attempt: 'a1'}})));
	expect(new Set(answers.map(answer => answer.status))).toEqual(new Set([502]));
});
