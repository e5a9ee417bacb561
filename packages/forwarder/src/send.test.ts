import {Buffer} from 'node:buffer';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {createSystemClock} from '@gentianlift/clock';
import {expect, onTestFinished, test} from 'vitest';
import type {Protocol} from './protocol.js';
import {readBody, type Body} from './read-body.js';
import {send, type SendOutcome} from './send.js';
import {UpstreamAgent} from './upstream-agent.js';

const protocol: Pick<Protocol, 'readAnswerHead'> = {
	readAnswerHead: (status, headers) => ({
		status,
		attempt: headers[headers.indexOf('Attempt') + 1],
		isNotRun: status === 421,
		isSigned: true,
		isEventStream: false,
		forwarded: headers,
	}),
};

/** Starts an upstream that answers each request as `answer` does with its socket. */
const startUpstream = async (answer: (socket: Socket, count: number) => void): Promise<Server> => {
	let count = 0;
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.on('data', () => {
			count += 1;
			answer(socket, count);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	onTestFinished(() => {
		server.close();
	});
	return server;
};

const call = async (server: Server, agent = new UpstreamAgent(), attempt = 'a1'): Promise<SendOutcome> => {
	const {port} = server.address() as AddressInfo;
	const {outcome} = send({
		upstream: {
			id: 'u', service: 's', address: `127.0.0.1:${port}`, zone: 'z', isLeaving: false, slots: 1, startedAt: 1,
		},
		method: 'GET', target: '/', headers: ['Host', 'h'], body: new Uint8Array(), attempt, headTimeout: 5000,
	}, {agent, protocol: protocol as Protocol, clock: createSystemClock()});
	return outcome;
};

const readAnswer = async (outcome: SendOutcome): Promise<Body | undefined> =>
	outcome.kind === 'answered' ? readBody(outcome.answer, 1000) : undefined;

const pause = async (): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, 30);
});

test('an answer without a length ends with an orderly close', async () => {
	const server = await startUpstream(socket => {
		socket.end('HTTP/1.1 200 OK\r\nAttempt: a1\r\n\r\nwhole');
	});
	expect(await readAnswer(await call(server))).toMatchObject({kind: 'whole'});
});

test('an answer without a length that is reset is broken', async () => {
	const server = await startUpstream(socket => {
		socket.write('HTTP/1.1 200 OK\r\nAttempt: a1\r\n\r\npart', () => {
			setTimeout(() => {
				socket.resetAndDestroy();
			}, 10);
		});
	});
	expect(await readAnswer(await call(server))).toMatchObject({kind: 'broken'});
});

test('an answer that is reset right after its part came is broken', async () => {
	const server = await startUpstream(socket => {
		socket.write('HTTP/1.1 200 OK\r\nAttempt: a1\r\n\r\npart', () => {
			socket.resetAndDestroy();
		});
	});
	const outcome = await call(server);
	const body = await readAnswer(outcome);
	expect(body === undefined || body.kind === 'broken').toBe(true);
});

test('a connection with bytes after its answer is not used again', async () => {
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
	await pause();
	expect(await readAnswer(await call(server, agent))).toMatchObject({kind: 'whole'});
	expect(connections).toBe(2);
});

test('bytes in one piece with the end of an answer belong to no request', async () => {
	const server = await startUpstream(socket => {
		socket.write('HTTP/1.1 200 OK\r\nAttempt: a1\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nAttempt: a1\r\nContent-Length: 2\r\n\r\nno');
	});
	const agent = new UpstreamAgent();
	const first = await readAnswer(await call(server, agent));
	expect(first?.kind === 'whole' ? Buffer.from(first.bytes).toString() : first).toBe('ok');
	await pause();
	const second = await readAnswer(await call(server, agent));
	expect(second?.kind === 'whole' ? Buffer.from(second.bytes).toString() : second).toBe('ok');
});

test('the answer to another request is not taken', async () => {
	const server = await startUpstream(socket => {
		socket.write('HTTP/1.1 200 OK\r\nAttempt: other\r\nContent-Length: 2\r\n\r\nok');
	});
	expect(await call(server)).toEqual({kind: 'broken', reason: 'answer-of-another-request'});
});

test('a refused connection has not run', async () => {
	const server = await startUpstream(() => undefined);
	const {port} = server.address() as AddressInfo;
	server.close();
	await pause();
	expect(port).toBeGreaterThan(0);
	const {outcome} = send({
		upstream: {
			id: 'u', service: 's', address: `127.0.0.1:${port}`, zone: 'z', isLeaving: false, slots: 1, startedAt: 1,
		},
		method: 'GET', target: '/', headers: ['Host', 'h'], body: new Uint8Array(), attempt: 'a1', headTimeout: 5000,
	}, {agent: new UpstreamAgent(), protocol: protocol as Protocol, clock: createSystemClock()});
	expect(await outcome).toMatchObject({kind: 'unreachable'});
});

test('a connection that breaks before the answer may have run', async () => {
	const server = await startUpstream(socket => {
		socket.resetAndDestroy();
	});
	expect(await call(server)).toMatchObject({kind: 'broken'});
});
