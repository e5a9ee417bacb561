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
	/** Caller's id of the request; an answer that names another one is not accepted. */
	callerRequestId: string | undefined;
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
	/** The head of the answer didn't arrive within `headTimeout`; the request may have executed. Unrelated to the silence of a stream that has begun. */
		| {kind: 'silent'}
		| {kind: 'answered'; head: AnswerHead; answer: Incoming};

/** A request that was sent to an upstream, as seen by its sender: its outcome and a way to abort it. */
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

/** Classifies an answer by its head; closes the connection of an answer to another request and of a success without the mark of an upstream. */
const classifyAnswer = (answer: Incoming, head: AnswerHead, callerRequestId: string | undefined): SendOutcome => {
	const {message} = answer;
	const isMismatched = head.callerRequestId !== undefined && callerRequestId !== undefined && head.callerRequestId !== callerRequestId;
	if (isMismatched) {
		message.destroy();
		return {kind: 'broken', reason: 'answer-of-another-request'};
	}

	if (head.isNotExecuted) {
		discard(message);
		return {kind: 'rejected', status: head.status};
	}

	const isSuccess = head.status >= 200 && head.status < 300;
	if (isSuccess && !head.hasUpstreamMark) {
		message.destroy();
		return {kind: 'broken', reason: 'answer-unsigned'};
	}

	return {kind: 'answered', head, answer};
};

/** Sends a request to an upstream; it counts as unreachable until the connection is established. */
export const send = (upstreamRequest: UpstreamRequest, {agent, protocol, clock}: SendOptions): InFlightRequest => {
	const clientRequest = openRequest(upstreamRequest, agent);
	let isConnected = false;
	let hasFailed = false;
	const outcome = new Promise<SendOutcome>(resolve => {
		const cancelConnectTimer = clock.after(connectTimeout, () => {
			if (!isConnected) {
				clientRequest.destroy(new Error('connect-timeout'));
			}
		});
		const cancelHeadTimer = clock.after(upstreamRequest.headTimeout, () => {
			resolve({kind: 'silent'});
			clientRequest.destroy();
		});
		const finish = (result: SendOutcome): void => {
			cancelConnectTimer();
			cancelHeadTimer();
			resolve(result);
		};

		clientRequest.once('socket', socket => {
			agent.beginRequest(socket);
			if (socket.connecting) {
				socket.once('connect', () => {
					isConnected = true;
				});
			} else {
				isConnected = true;
			}
		});
		clientRequest.once('response', message => {
			agent.recordAnswer(message.socket, message);
			const {socket} = message;
			const answer = {message, hasFailed: () => hasFailed || agent.wasReset(socket)};
			finish(classifyAnswer(answer, protocol.readAnswerHead(message.statusCode ?? 0, message.rawHeaders), upstreamRequest.callerRequestId));
		});
		clientRequest.on('error', error => {
			hasFailed = true;
			finish({kind: isConnected ? 'broken' : 'unreachable', reason: getErrorReason(error)});
		});
		clientRequest.once('close', () => {
			finish({kind: isConnected ? 'broken' : 'unreachable', reason: 'closed'});
		});
	});
	clientRequest.end(upstreamRequest.body);
	return {
		outcome,
		cancel() {
			clientRequest.destroy();
		},
	};
};
