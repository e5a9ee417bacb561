import {Buffer} from 'node:buffer';
import type {
	AddressInfo, NetConnectOpts, Server, Socket,
} from 'node:net';
import {createManualClock, createSystemClock} from '@gentianlift/clock';
import {expect, onTestFinished, test} from 'vitest';
import type {Protocol} from '../protocol.js';
import {send} from './send.js';
import {
	call, createSocketServerStarter, protocol, readAnswer, startCall, waitForClose,
} from './testing-send.js';
import {UpstreamAgent} from './upstream-agent.js';

const startUpstream = createSocketServerStarter(onTestFinished);

test('an answer without a length is complete after an orderly close', async () => {
	const server = await startUpstream(socket => {
		socket.end('HTTP/1.1 200 OK\r\nAttempt: a1\r\n\r\nwhole');
	});
	expect(await readAnswer(await call(server))).toMatchObject({kind: 'whole'});
});

test('an answer without a length is broken after a reset', async () => {
	const server = await startUpstream(socket => {
		socket.write('HTTP/1.1 200 OK\r\nAttempt: a1\r\n\r\npart', () => {
			setTimeout(() => {
				socket.resetAndDestroy();
			}, 10);
		});
	});
	expect(await readAnswer(await call(server))).toMatchObject({kind: 'broken'});
});

test('an answer without a length is broken if the reset arrives together with its data', async () => {
	const server = await startUpstream(socket => {
		socket.write('HTTP/1.1 200 OK\r\nAttempt: a1\r\n\r\npart', () => {
			socket.resetAndDestroy();
		});
	});
	const outcome = await call(server);
	const body = await readAnswer(outcome);
	expect(body === undefined || body.kind === 'broken').toBe(true);
});

test('a connection that delivers bytes after its answer is not reused', async () => {
	let connections = 0;
	const server = await startUpstream(socket => {
		socket.write('HTTP/1.1 200 OK\r\nAttempt: a1\r\nContent-Length: 2\r\n\r\nok');
		setTimeout(() => {
			socket.write('more');
		}, 5);
	});
	server.on('connection', () => {
		connections += 1;
	});
	const agent = new UpstreamAgent();
	expect(await readAnswer(await call(server, agent))).toMatchObject({kind: 'whole'});
	await waitForClose();
	expect(await readAnswer(await call(server, agent))).toMatchObject({kind: 'whole'});
	expect(connections).toBe(2);
});

test('bytes in the same chunk as the end of an answer are not taken for the next answer', async () => {
	const server = await startUpstream(socket => {
		socket.write('HTTP/1.1 200 OK\r\nAttempt: a1\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nAttempt: a1\r\nContent-Length: 2\r\n\r\nno');
	});
	const agent = new UpstreamAgent();
	const first = await readAnswer(await call(server, agent));
	expect(first?.kind === 'whole' ? Buffer.from(first.bytes).toString() : first).toBe('ok');
	await waitForClose();
	const second = await readAnswer(await call(server, agent));
	expect(second?.kind === 'whole' ? Buffer.from(second.bytes).toString() : second).toBe('ok');
});

test('an answer to another request is not accepted', async () => {
	const server = await startUpstream(socket => {
		socket.write('HTTP/1.1 200 OK\r\nAttempt: other\r\nContent-Length: 2\r\n\r\nok');
	});
	expect(await call(server)).toEqual({kind: 'broken', reason: 'answer-of-another-request'});
});

test('a refused connection is reported as unreachable, so that the request is known not to have executed', async () => {
	const server = await startUpstream(() => undefined);
	const {port} = server.address() as AddressInfo;
	server.close();
	await waitForClose();
	expect(port).toBeGreaterThan(0);
	const {outcome} = send({
		address: `127.0.0.1:${port}`, method: 'GET', target: '/',
		body: new Uint8Array(), callerRequestId: 'a1', connectionWait: 5000, buildHead: () => ({headers: ['Host', 'h'], headTimeout: 5000}),
	}, {agent: new UpstreamAgent(), protocol: protocol as Protocol, clock: createSystemClock()});
	expect(await outcome).toMatchObject({kind: 'unreachable'});
});

test('a connection that breaks before the answer is reported as broken, as the request may have executed', async () => {
	const server = await startUpstream(socket => {
		socket.resetAndDestroy();
	});
	expect(await call(server)).toMatchObject({kind: 'broken'});
});

/** Starts a stub upstream that answers each request and closes its connection, the first one only when `answerFirst` is called. */
const startBusyUpstream = async (): Promise<{server: Server; answerFirst: () => void; countRequests: () => number}> => {
	let requests = 0;
	let firstSocket: Socket | undefined;
	const answerAndClose = (socket: Socket | undefined): void => {
		socket?.end('HTTP/1.1 200 OK\r\nAttempt: a1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok');
	};

	const server = await startUpstream((socket, count) => {
		requests = count;
		if (count === 1) {
			firstSocket = socket;
		} else {
			answerAndClose(socket);
		}
	});
	return {
		server,
		countRequests: () => requests,
		answerFirst() {
			answerAndClose(firstSocket);
		},
	};
};

/** Sends two calls over a pool of one connection, which the first one holds. */
const sendTwoCalls = async () => {
	const clock = createManualClock();
	const {server, answerFirst, countRequests} = await startBusyUpstream();
	const agent = new UpstreamAgent({maxSockets: 1});
	const first = call(server, agent, 'a1', clock);
	await expect.poll(countRequests).toBe(1);
	const second = call(server, agent, 'a1', clock);
	return {
		clock, answerFirst, countRequests, first, second,
	};
};

// Guards against: a healthy upstream is avoided as unreachable because its requests waited for this host's own connections.
test('a request that waits for a connection of its pool does not make its upstream unreachable', async () => {
	const {
		clock, answerFirst, first, second,
	} = await sendTwoCalls();
	await clock.advance(1000);
	answerFirst();
	expect(await readAnswer(await first)).toMatchObject({kind: 'whole'});
	expect(await second).toMatchObject({kind: 'answered'});
});

// Guards against: a request that was never sent is reported as possibly executed, or not at all until a connection is free.
test('a request that gets no connection within its limit is reported as unsent at once', async () => {
	const {
		clock, answerFirst, countRequests, first, second,
	} = await sendTwoCalls();
	await clock.advance(2000);
	expect(await second).toEqual({kind: 'unsent', reason: 'pool-timeout'});
	answerFirst();
	expect(await readAnswer(await first)).toMatchObject({kind: 'whole'});
	await waitForClose();
	expect(countRequests()).toBe(1);
});

// Guards against: a cancelled request that waits for a connection holds its caller until one is free.
test('a request that is cancelled while it waits for a connection is reported as unsent at once', async () => {
	const {server, answerFirst, countRequests} = await startBusyUpstream();
	const agent = new UpstreamAgent({maxSockets: 1});
	const first = call(server, agent);
	await expect.poll(countRequests).toBe(1);
	const second = startCall(server, agent);
	second.cancel();
	expect(await second.outcome).toEqual({kind: 'unsent', reason: 'cancelled'});
	answerFirst();
	expect(await readAnswer(await first)).toMatchObject({kind: 'whole'});
	await waitForClose();
	expect(countRequests()).toBe(1);
});

// Guards against: an upstream counts as silent for the time that a request waited for this host's own connections.
test('the limit for the head of an answer counts from the sending of the request', async () => {
	const clock = createManualClock();
	const held: Socket[] = [];
	const server = await startUpstream(socket => {
		held.push(socket);
	});
	const agent = new UpstreamAgent({maxSockets: 1});
	const first = call(server, agent, 'a1', clock);
	await expect.poll(() => held.length).toBe(1);
	const second = call(server, agent, 'a1', clock);
	await clock.advance(1900);
	held[0]?.end('HTTP/1.1 200 OK\r\nAttempt: a1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok');
	expect(await readAnswer(await first)).toMatchObject({kind: 'whole'});
	await expect.poll(() => held.length).toBe(2);
	await clock.advance(4900);
	held[1]?.end('HTTP/1.1 200 OK\r\nAttempt: a1\r\nContent-Length: 2\r\n\r\nok');
	expect(await second).toMatchObject({kind: 'answered'});
});

// Guards against: a host that was suspended reports answers that it has not read yet as missing, and sends their requests again.
test('an answer that arrives while the host is suspended counts, although its time limit has passed', async () => {
	const clock = createManualClock();
	const held: Socket[] = [];
	const server = await startUpstream(socket => {
		held.push(socket);
	});
	const pending = call(server, new UpstreamAgent(), 'a1', clock);
	await expect.poll(() => held.length).toBe(1);
	held[0]?.end('HTTP/1.1 200 OK\r\nAttempt: a1\r\nContent-Length: 2\r\n\r\nok');
	clock.pause(6000);
	await clock.advance(0);
	expect(await pending).toMatchObject({kind: 'answered'});
});

/** Connection pool whose connections are never established. */
class UnconnectedAgent extends UpstreamAgent {
	override createConnection(options: NetConnectOpts): Socket {
		return super.createConnection({...options, host: 'upstream.example', lookup: () => undefined});
	}
}

// Guards against: an upstream that accepts no connection holds its requests up to the limit for an answer.
test('an upstream with which no connection is established in time is unreachable', async () => {
	const clock = createManualClock();
	const server = await startUpstream(() => undefined);
	const first = call(server, new UnconnectedAgent(), 'a1', clock);
	await waitForClose();
	await clock.advance(400);
	expect(await first).toEqual({kind: 'unreachable', reason: 'connect-timeout'});
});

// Guards against: the process ends because of a header that Node rejects.
test('a request with an invalid header is reported as unsent', async () => {
	const server = await startUpstream(() => undefined);
	const {port} = server.address() as AddressInfo;
	const {outcome} = send({
		address: `127.0.0.1:${port}`, method: 'GET', target: '/',
		body: new Uint8Array(), callerRequestId: 'a1', connectionWait: 5000, buildHead: () => ({headers: ['not a name', 'h'], headTimeout: 5000}),
	}, {agent: new UpstreamAgent(), protocol: protocol as Protocol, clock: createSystemClock()});
	expect(await outcome).toEqual({kind: 'unsent', reason: 'ERR_INVALID_HTTP_TOKEN'});
});
