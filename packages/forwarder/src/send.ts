import {request, type ClientRequest, type IncomingMessage} from 'node:http';
import type {Clock} from '@gentianlift/clock';
import type {Upstream} from '@gentianlift/routing';
import {splitAddress, type Milliseconds} from '@gentianlift/types';
import type {Incoming} from './incoming.js';
import type {AnswerHead, Protocol, RawHeaders} from './protocol.js';
import type {UpstreamAgent} from './upstream-agent.js';

/** A request as it is sent to one upstream. */
export type UpstreamRequest = {
	upstream: Upstream;
	method: string;
	/** Path with query, as the caller sent it. */
	target: string;
	headers: RawHeaders;
	body: Uint8Array;
	/** Id of the attempt; an answer that names another one is rejected. */
	attemptId: string | undefined;
	/** Longest wait for the head of the answer. */
	headTimeout: Milliseconds;
};

/** Outcome of a request up to the head of its answer. */
export type SendOutcome
	/** No connection was established, so the upstream has received nothing. */
	= | {kind: 'unreachable'; reason: string}
	/** The upstream states that it has not executed the request. */
		| {kind: 'rejected'; status: number}
	/** The connection failed or the answer is invalid; the request may have executed. */
		| {kind: 'broken'; reason: string}
	/** The head of the answer didn't arrive in time; the request may have executed. */
		| {kind: 'silent'}
		| {kind: 'answered'; head: AnswerHead; answer: Incoming};

/** A request in flight at an upstream. */
export type InFlightRequest = {
	outcome: Promise<SendOutcome>;
	/** Aborts the request and closes its connection, so that the upstream stops working on it. */
	cancel: () => void;
};

/** Dependencies of `send`. */
export type SendOptions = {agent: UpstreamAgent; protocol: Protocol; clock: Clock};

/** Longest time to establish a connection within a region. */
const connectTimeout: Milliseconds = 400;

const getErrorReason = (error: Error & {code?: string}): string => error.code ?? error.message;

const openRequest = ({upstream, method, target, headers}: UpstreamRequest, agent: UpstreamAgent): ClientRequest =>
	request({
		...splitAddress(upstream.address), agent, method, path: target, headers: [...headers],
	});

/** Drains an unused answer, so that its connection can be reused. */
const discard = (message: IncomingMessage): void => {
	message.on('error', () => undefined);
	message.resume();
};

/** Classifies an answer by its head; closes the connection of an answer to another attempt and of an unsigned success. */
const classifyAnswer = (answer: Incoming, head: AnswerHead, attemptId: string | undefined): SendOutcome => {
	const {message} = answer;
	const isMismatched = head.attemptId !== undefined && attemptId !== undefined && head.attemptId !== attemptId;
	if (isMismatched) {
		message.destroy();
		return {kind: 'broken', reason: 'answer-of-another-request'};
	}

	if (head.isNotExecuted) {
		discard(message);
		return {kind: 'rejected', status: head.status};
	}

	const isSuccess = head.status >= 200 && head.status < 300;
	if (isSuccess && !head.isSigned) {
		message.destroy();
		return {kind: 'broken', reason: 'answer-unsigned'};
	}

	return {kind: 'answered', head, answer};
};

/** Sends a request to an upstream; it counts as unreachable until the connection is established. */
export const send = (upstreamRequest: UpstreamRequest, {agent, protocol, clock}: SendOptions): InFlightRequest => {
	const exchange = openRequest(upstreamRequest, agent);
	let isConnected = false;
	let hasFailed = false;
	const outcome = new Promise<SendOutcome>(resolve => {
		const cancelConnectTimer = clock.after(connectTimeout, () => {
			if (!isConnected) {
				exchange.destroy(new Error('connect-timeout'));
			}
		});
		const cancelHeadTimer = clock.after(upstreamRequest.headTimeout, () => {
			resolve({kind: 'silent'});
			exchange.destroy();
		});
		const finish = (result: SendOutcome): void => {
			cancelConnectTimer();
			cancelHeadTimer();
			resolve(result);
		};

		exchange.once('socket', socket => {
			if (socket.connecting) {
				socket.once('connect', () => {
					isConnected = true;
				});
			} else {
				isConnected = true;
			}
		});
		exchange.once('response', message => {
			agent.recordAnswer(message.socket, message);
			const {socket} = message;
			const answer = {message, hasFailed: () => hasFailed || agent.wasReset(socket)};
			finish(classifyAnswer(answer, protocol.readAnswerHead(message.statusCode ?? 0, message.rawHeaders), upstreamRequest.attemptId));
		});
		exchange.on('error', error => {
			hasFailed = true;
			finish({kind: isConnected ? 'broken' : 'unreachable', reason: getErrorReason(error)});
		});
		exchange.once('close', () => {
			finish({kind: isConnected ? 'broken' : 'unreachable', reason: 'closed'});
		});
	});
	exchange.end(upstreamRequest.body);
	return {
		outcome,
		cancel() {
			exchange.destroy();
		},
	};
};
