import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {createSystemClock, type Clock} from '@gentianlift/clock';
import type {Protocol} from '../protocol.js';
import {readBody, type Body} from '../deliver/read-body.js';
import {send, type InFlightRequest, type SendOutcome} from './send.js';
import {UpstreamAgent} from './upstream-agent.js';

/** Protocol of the stub upstreams, whose answers name the caller's id of the request in the header `Attempt`, if at all. */
export const protocol: Pick<Protocol, 'readAnswerHead'> = {
	readAnswerHead: (status, headers) => ({
		status,
		callerRequestId: headers.includes('Attempt') ? headers[headers.indexOf('Attempt') + 1] : undefined,
		statements: {
			limit: {kind: 'none'}, rest: {kind: 'none'}, rejections: {kind: 'none'}, isLeaving: false,
		},
		isNotExecuted: status === 421,
		hasUpstreamMark: true,
		isEventStream: false,
		forwarded: headers,
	}),
};

/** Creates a function that starts a stub upstream, which calls `answer` with the socket and a count for each request. */
export const createSocketServerStarter = (onFinished: (close: () => void) => void) => async (answer: (socket: Socket, count: number) => void): Promise<Server> => {
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
	onFinished(() => {
		server.close();
	});
	return server;
};

/** Starts a request to a stub upstream. */
export const startCall = (server: Server, agent = new UpstreamAgent(), attempt = 'a1', clock: Clock = createSystemClock()): InFlightRequest => {
	const {port} = server.address() as AddressInfo;
	return send({
		address: `127.0.0.1:${port}`, method: 'GET', target: '/',
		body: new Uint8Array(), callerRequestId: attempt, connectionWait: 2000, buildHead: () => ({headers: ['Host', 'h'], headTimeout: 5000}),
	}, {agent, protocol: protocol as Protocol, clock});
};

/** Sends a request to a stub upstream and returns its outcome. */
export const call = async (...parameters: Parameters<typeof startCall>): Promise<SendOutcome> => startCall(...parameters).outcome;

/** Reads the body of an answer; undefined if there is no answer. */
export const readAnswer = async (outcome: SendOutcome): Promise<Body | undefined> =>
	outcome.kind === 'answered' ? readBody(outcome.answer, 1000) : undefined;

/** Waits until a connection that was closed by its other end is known to be closed. */
export const waitForClose = async (): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, 30);
});
