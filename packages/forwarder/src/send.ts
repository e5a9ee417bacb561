import {request, type ClientRequest, type IncomingMessage} from 'node:http';
import type {Clock} from '@gentianlift/clock';
import type {Upstream} from '@gentianlift/routing';
import {splitAddress, type Milliseconds} from '@gentianlift/types';
import type {Incoming} from './incoming.js';
import type {AnswerHead, Protocol, RawHeaders} from './protocol.js';
import type {UpstreamAgent} from './upstream-agent.js';

/** A request as it goes to one upstream. */
export type Outgoing = {
	upstream: Upstream;
	method: string;
	/** Path with query, as the caller sent it. */
	target: string;
	headers: RawHeaders;
	body: Uint8Array;
	/** Id that the answer has to bear, if it bears one. */
	attempt: string | undefined;
	/** Longest time to wait for the head of the answer. */
	headLimit: Milliseconds;
};

/** How a request fared at an upstream up to the head of its answer. */
export type SendOutcome
	/** No connection: the upstream has seen nothing of it. */
	= | {kind: 'unreachable'; reason: string}
	/** The upstream says that it has not run it. */
		| {kind: 'rejected'; status: number}
	/** It may have run; no answer to it will come. */
		| {kind: 'broken'; reason: string}
		| {kind: 'silent'}
		| {kind: 'answered'; head: AnswerHead; answer: Incoming};

/** A request under way at an upstream. */
export type Send = {
	outcome: Promise<SendOutcome>;
	/** Ends it and closes its connection, so that the upstream drops it. */
	cancel: () => void;
};

/** What a send works with. */
export type SendTools = {agent: UpstreamAgent; protocol: Protocol; clock: Clock};

/** Longest time to establish a connection inside a region. */
const connectLimit: Milliseconds = 400;

const getReason = (error: Error & {code?: string}): string => error.code ?? error.message;

const open = ({upstream, method, target, headers}: Outgoing, agent: UpstreamAgent): ClientRequest =>
	request({
		...splitAddress(upstream.address), agent, method, path: target, headers: [...headers],
	});

/** Drains an answer that isn't used, so that its connection can be. */
const discard = (message: IncomingMessage): void => {
	message.on('error', () => undefined);
	message.resume();
};

/** Gets the meaning of an answer's head; closes connections whose answer can't be the request's. */
const judge = (answer: Incoming, head: AnswerHead, attempt: string | undefined): SendOutcome => {
	const {message} = answer;
	const isForeign = head.attempt !== undefined && attempt !== undefined && head.attempt !== attempt;
	if (isForeign) {
		message.destroy();
		return {kind: 'broken', reason: 'answer-of-another-request'};
	}

	if (head.isNotRun) {
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

/** Sends a request to an upstream. */
export const send = (outgoing: Outgoing, {agent, protocol, clock}: SendTools): Send => {
	const exchange = open(outgoing, agent);
	let isConnected = false;
	let hasFailed = false;
	const outcome = new Promise<SendOutcome>(resolve => {
		const cancelConnect = clock.after(connectLimit, () => {
			if (!isConnected) {
				exchange.destroy(new Error('connect-timeout'));
			}
		});
		const cancelHead = clock.after(outgoing.headLimit, () => {
			resolve({kind: 'silent'});
			exchange.destroy();
		});
		const finish = (result: SendOutcome): void => {
			cancelConnect();
			cancelHead();
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
			agent.noteAnswer(message.socket, message);
			const {socket} = message;
			const answer = {message, hasFailed: () => hasFailed || agent.wasReset(socket)};
			finish(judge(answer, protocol.readAnswerHead(message.statusCode ?? 0, message.rawHeaders), outgoing.attempt));
		});
		exchange.on('error', error => {
			hasFailed = true;
			finish({kind: isConnected ? 'broken' : 'unreachable', reason: getReason(error)});
		});
		exchange.once('close', () => {
			finish({kind: isConnected ? 'broken' : 'unreachable', reason: 'closed'});
		});
	});
	exchange.end(outgoing.body);
	return {
		outcome,
		cancel() {
			exchange.destroy();
		},
	};
};
