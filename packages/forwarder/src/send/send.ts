import {request, type ClientRequest} from 'node:http';
import type {Socket} from 'node:net';
import {startTimeLimit, type Cancel, type Clock} from '@gentianlift/clock';
import {checkAnswer} from '@gentianlift/http';
import {splitAddress, type Address, type Milliseconds} from '@gentianlift/types';
import type {AnswerHead, Protocol, RawHeaders} from '../protocol.js';
import {maxEntryDelay} from '../queue/restart-doubt.js';
import {classifyAnswer, isMismatched} from './classify-answer.js';
import {getConnectionAge} from './connection-age.js';
import type {Incoming} from './incoming.js';
import {getFailure, getTimeoutOutcome, type SendPhase} from './send-phase.js';
import type {UpstreamAgent} from './upstream-agent.js';

/** The part of a request that depends on the time that remains when it is sent. */
export type RequestHead = {
	headers: RawHeaders;
	/** Longest wait for the head of the answer; undefined if only the call's deadline bounds it, at which the request is cancelled. */
	headTimeout: Milliseconds | undefined;
};

/** Why a request isn't sent once it has a connection: its upstream takes no more requests, this host ends before the answer would, it is suspected of crashes by now, or its upstream has asked for rest or named a limit that leaves no room for it. */
export type UnsentReason = 'upstream-removed' | 'host-stopping' | 'suspected-of-crashes' | 'upstream-resting' | 'upstream-limited';

/** A request as it is sent to one upstream. */
export type UpstreamRequest = {
	address: Address;
	method: string;
	/** Path with query, as the caller sent it. */
	target: string;
	body: Uint8Array;
	/** Caller's id of the request; an answer that names another one is not accepted. */
	callerRequestId: string | undefined;
	/** Longest wait for one of the pool's connections. */
	connectionWait: Milliseconds;
	/** Confirms that the upstream still is the incarnation that its entry names; called before the request is sent on a connection that is younger than the entry of a process that has just started may be. Undefined if any incarnation may answer. */
	confirm?: (() => Promise<boolean>) | undefined;
	/** Whether a request may be given up whose answer hasn't begun within `headTimeout`; it is asked again at intervals. Absent if any may. */
	mayGiveUp?: (() => boolean) | undefined;
	/** Called when the request is to be sent; returns a reason instead if it must no longer be, and then nothing is sent. */
	buildHead: () => RequestHead | UnsentReason;
};

/** Outcome of a request up to the head of its answer. */
export type SendOutcome
	/** The request didn't get one of the pool's connections, so nothing was sent; this says nothing about the upstream. */
	= | {kind: 'unsent'; reason: string}
	/** No connection was established, so the upstream has received nothing. */
		| {kind: 'unreachable'; reason: string}
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

/** Dependencies of `send`, and listeners: one is called when a connection is established and the request is sent on it, with a function that returns for how long the process at its other end has run at least, the other with the head of an answer to the request, also of one that isn't accepted for another reason than its syntax or its status. */
export type SendOptions = {agent: UpstreamAgent; protocol: Protocol; clock: Clock; onSent?: (getProcessAge: () => Milliseconds) => void; onHead?: (head: AnswerHead) => void};

/** Longest time to establish a connection within a region. */
const connectTimeout: Milliseconds = 400;
/** Interval at which it is checked whether a request may be given up whose answer hasn't begun in time. */
const silenceCheckInterval: Milliseconds = 100;

/** Begins the codes of Node's parser for what isn't HTTP. Which heads it refuses itself depends on its version. */
const parserFaultPrefix = 'HPE_INVALID_';

const getErrorReason = (error: Error & {code?: string}): string => error.code ?? error.message;

/** Returns why a request failed before its answer's head was reported: one that the parser refuses is malformed, as one is that is refused here. */
const getHeadErrorReason = (error: Error & {code?: string}): string =>
	error.code?.startsWith(parserFaultPrefix) === true ? 'head-malformed' : getErrorReason(error);

const openRequest = ({address, method, target}: UpstreamRequest, agent: UpstreamAgent): ClientRequest =>
	request({
		...splitAddress(address), agent, method, path: target, setHost: false,
	});

/** Writes a request to its connection. Throws before anything is written if a header is invalid. */
const writeRequest = (clientRequest: ClientRequest, headers: RawHeaders, body: Uint8Array): void => {
	for (let index = 0; index + 1 < headers.length; index += 2) {
		clientRequest.appendHeader(headers[index] ?? '', headers[index + 1] ?? '');
	}

	clientRequest.end(body);
};

const createDeferred = <Value>(): {promise: Promise<Value>; resolve: (value: Value) => void} => {
	let resolve: (value: Value) => void = () => undefined;
	const promise = new Promise<Value>(resolvePromise => {
		resolve = resolvePromise;
	});
	return {promise, resolve};
};

/** Tells the pool when a request gets one of its connections, and calls back then and when that connection is established. */
const watchConnection = (clientRequest: ClientRequest, agent: UpstreamAgent, {onConnecting, onConnected}: {onConnecting: () => void; onConnected: (socket: Socket) => void}): void => {
	clientRequest.once('socket', socket => {
		agent.beginRequest(socket);
		if (socket.connecting) {
			onConnecting();
			socket.once('connect', () => {
				onConnected(socket);
			});
		} else {
			onConnected(socket);
		}
	});
};

/** Opens a request; returns the reason if that can't be done, e.g. as the port is out of range. */
const tryToOpen = (upstreamRequest: UpstreamRequest, agent: UpstreamAgent): ClientRequest | string => {
	try {
		return openRequest(upstreamRequest, agent);
	} catch (error) {
		return getErrorReason(error as Error);
	}
};

/** Sends a request to an upstream as soon as the pool has a connection for it. */
export const send = (upstreamRequest: UpstreamRequest, {agent, protocol, clock, onSent, onHead}: SendOptions): InFlightRequest => {
	const {
		callerRequestId, connectionWait, body, confirm, mayGiveUp, buildHead,
	} = upstreamRequest;
	const clientRequest = tryToOpen(upstreamRequest, agent);
	if (typeof clientRequest === 'string') {
		return {outcome: Promise.resolve({kind: 'unreachable', reason: clientRequest}), cancel: () => undefined};
	}

	const check = checkAnswer(clientRequest);
	const {promise: outcome, resolve} = createDeferred<SendOutcome>();
	let phase: SendPhase = 'waiting';
	let isCancelled = false;
	let isFinished = false;
	let cancelTimer: Cancel | undefined;

	const finish = (result: SendOutcome): void => {
		isFinished = true;
		cancelTimer?.();
		agent.off('retire', endIfWaiting);
		resolve(result);
	};

	const enterPhase = (nextPhase: SendPhase, limit: Milliseconds | undefined): void => {
		phase = nextPhase;
		cancelTimer?.();
		cancelTimer = limit === undefined
			? undefined
			: startTimeLimit(clock, limit, () => {
				if (nextPhase === 'sent' && mayGiveUp?.() === false) {
					enterPhase(nextPhase, silenceCheckInterval);
					return;
				}

				finish(getTimeoutOutcome(nextPhase));
				clientRequest.destroy();
			});
	};

	const endUnsent = (reason: string): void => {
		finish({kind: 'unsent', reason});
		clientRequest.destroy();
	};

	const endIfWaiting = (): void => {
		if (phase === 'waiting') {
			endUnsent('upstream-removed');
		}
	};

	/** Builds the head and writes the request; returns the head, or why nothing was written. */
	const write = (): RequestHead | string => {
		try {
			const head = buildHead();
			if (typeof head !== 'string') {
				writeRequest(clientRequest, head.headers, body);
			}

			return head;
		} catch (error) {
			return getErrorReason(error as Error);
		}
	};

	const sendNow = (socket: Socket): void => {
		if (isFinished) {
			return;
		}

		const head = write();
		if (typeof head === 'string') {
			endUnsent(head);
			return;
		}

		enterPhase('sent', head.headTimeout);
		onSent?.(() => agent.getProcessAge(socket));
	};

	const confirmAndSend = async (socket: Socket, confirmIncarnation: () => Promise<boolean>): Promise<void> => {
		enterPhase('confirming', undefined);
		if (await confirmIncarnation()) {
			sendNow(socket);
		} else {
			endUnsent('unconfirmed');
		}
	};

	const startSending = (socket: Socket): void => {
		const age = getConnectionAge(socket, clock);
		if (confirm === undefined || age >= maxEntryDelay) {
			sendNow(socket);
		} else {
			void confirmAndSend(socket, confirm);
		}
	};

	enterPhase('waiting', connectionWait);
	agent.once('retire', endIfWaiting);
	watchConnection(clientRequest, agent, {
		onConnecting() {
			enterPhase('connecting', connectTimeout);
		},
		onConnected: startSending,
	});
	clientRequest.once('response', message => {
		agent.recordAnswer(message.socket, message);
		const {socket} = message;
		const answer: Incoming = {
			message,
			hasFailed: () => isCancelled || check.hasConnectionFailed(),
			isBodyMalformed: check.isBodyMalformed,
			waitForEnd: async () => check.requestEnd,
		};
		const head = protocol.readAnswerHead(message.statusCode ?? 0, message.rawHeaders);
		const fault = check.getHeadFault(message);
		if (fault === undefined && !isMismatched(head, callerRequestId)) {
			onHead?.(head);
		}

		const hasNamedRequests = agent.hasNamedRequests(socket);
		if (head.callerRequestId !== undefined) {
			agent.recordNamedRequest(socket);
		}

		finish(classifyAnswer(answer, head, {fault, callerRequestId, hasNamedRequests}));
	});
	clientRequest.on('error', error => {
		finish(getFailure(phase, getHeadErrorReason(error)));
	});
	clientRequest.once('close', () => {
		finish(getFailure(phase, 'closed'));
	});
	return {
		outcome,
		cancel() {
			// Node reports nothing about a destroyed request that waits until a connection is free.
			if (phase === 'waiting') {
				finish(getFailure(phase, 'cancelled'));
			}

			// Node reports the end of a body without length or chunks, as if its upstream had closed the connection.
			isCancelled = true;
			clientRequest.destroy();
		},
	};
};
