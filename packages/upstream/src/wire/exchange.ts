import {Buffer} from 'node:buffer';
import {
	request as createRequest, type ClientRequest, type IncomingMessage, type OutgoingHttpHeaders,
} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '@gentianlift/clock';
import {checkAnswer, type AnswerCheck} from '@gentianlift/http';
import {splitAddress, type Address, type Milliseconds} from '@gentianlift/types';
import type {ConnectionPool} from './connection-pool.js';
import {createSilenceTimer, type SilenceTimer} from './silence-timer.js';

/** One request to an upstream. */
export type UpstreamRequest = {
	address: Address;
	method: string;
	path: string;
	headers: OutgoingHttpHeaders;
	body?: Uint8Array | string;
	/** Aborting closes the connection. Omit it for a request that must not be interrupted. */
	signal?: AbortSignal;
};

/**
Why an exchange failed. After `unsent` and `unreachable` the request is known not to have executed; after `reset` and `silent` it may have. A response that isn't HTTP, or has a status that no final one has, counts as a reset.
`unsent` means that no connection of this host's pool was free, which says nothing about the upstream.
*/
export type ExchangeFailure
	= | {kind: 'unsent'}
		| {kind: 'unreachable'; reason: string}
		| {kind: 'reset'; reason: string}
		| {kind: 'silent'; after: Milliseconds}
		| {kind: 'cancelled'};

/** A response whose body has not been read yet. Whoever reads the body waits for its end with `waitForBodyEnd`, and calls `release` then. */
export type UpstreamResponse = {
	kind: 'answered';
	message: IncomingMessage;
	silenceTimer: SilenceTimer;
	/** Returns why the connection was lost; undefined if it wasn't. */
	getFailure: () => ExchangeFailure | undefined;
	/** Resolves with why a body that Node reports as ended isn't whole; undefined if it is. The silence timer goes on meanwhile. */
	findEndFault: AnswerCheck['findEndFault'];
	/** Closes the connection for the given reason. */
	abort: (failure: ExchangeFailure) => void;
	/** Stops the silence timer and detaches the abort signal after the body has been read. */
	release: () => void;
};

/** Dependencies of an exchange. */
export type ExchangeContext = {clock: Clock; pool: ConnectionPool};

/** Longest wait for a connection of the pool while all of them are in use. */
const poolTimeout: Milliseconds = 2000;
/** Timeout for establishing a connection. */
const connectTimeout: Milliseconds = 2000;
/** Idle time after which the kernel sends TCP keep-alive probes. */
const keepAliveProbeDelay: Milliseconds = 5000;

const ignoreError = (): void => undefined;

const openRequest = (context: ExchangeContext, {address, method, path, headers, body}: UpstreamRequest): ClientRequest => {
	const length = body === undefined ? {} : {'content-length': Buffer.byteLength(body)};
	const request = createRequest({
		...splitAddress(address), method, path, headers: {...headers, ...length}, agent: context.pool.getAgent(address),
	});
	request.setNoDelay(true);
	return request;
};

/** Phase of an exchange up to the head of its response. */
type ExchangePhase
	/** All connections of the pool are in use by other requests of this host. */
	= | 'waiting'
		| 'connecting'
		| 'sent';

/** Calls back when a request gets a connection of the pool, and when that connection is established. */
const watchConnection = (request: ClientRequest, {onConnecting, onConnected}: {onConnecting: () => void; onConnected: () => void}): void => {
	request.once('socket', (socket: Socket) => {
		socket.setKeepAlive(true, keepAliveProbeDelay);
		if (socket.connecting) {
			onConnecting();
			socket.once('connect', onConnected);
		} else {
			onConnected();
		}
	});
};

/** Returns the failure of an exchange that exceeded the time limit of a phase. */
const getTimeoutFailure = (phase: ExchangePhase, after: Milliseconds): ExchangeFailure => {
	switch (phase) {
		case 'waiting': {
			return {kind: 'unsent'};
		}

		case 'connecting': {
			return {kind: 'unreachable', reason: 'connect-timeout'};
		}

		case 'sent': {
			return {kind: 'silent', after};
		}
	}
};

/** Returns the failure of an exchange whose request failed in a phase. */
const getRequestFailure = (phase: ExchangePhase, reason: string): ExchangeFailure => {
	switch (phase) {
		case 'waiting': {
			return {kind: 'unsent'};
		}

		case 'connecting': {
			return {kind: 'unreachable', reason};
		}

		case 'sent': {
			return {kind: 'reset', reason};
		}
	}
};

/** Sends a request and resolves when the head of the response arrives, or with the reason why there is none. Never throws. */
export const exchange = async (context: ExchangeContext, options: UpstreamRequest, silenceTimeout: Milliseconds): Promise<UpstreamResponse | ExchangeFailure> => new Promise(resolve => {
	if (options.signal?.aborted) {
		resolve({kind: 'cancelled'});
		return;
	}

	let phase: ExchangePhase = 'waiting';
	let failure: ExchangeFailure | undefined;
	const request = openRequest(context, options);
	const check = checkAnswer(request);
	const fail = (newFailure: ExchangeFailure): void => {
		failure ??= newFailure;
		request.destroy();
		// Node reports nothing about a destroyed request that waits until a connection is free.
		if (phase === 'waiting') {
			release();
			resolve(failure);
		}
	};

	const silenceTimer = createSilenceTimer(context.clock, poolTimeout, after => {
		if (phase !== 'waiting') {
			context.pool.replaceAgent(options.address);
		}

		fail(getTimeoutFailure(phase, after));
	});
	const onAbort = (): void => {
		fail({kind: 'cancelled'});
	};

	const release = (): void => {
		silenceTimer.stop();
		options.signal?.removeEventListener('abort', onAbort);
	};

	options.signal?.addEventListener('abort', onAbort, {once: true});
	const enterPhase = (nextPhase: ExchangePhase, limit: Milliseconds): void => {
		phase = nextPhase;
		silenceTimer.recordActivity();
		silenceTimer.setLimit(limit);
	};

	watchConnection(request, {
		onConnecting() {
			enterPhase('connecting', connectTimeout);
		},
		onConnected() {
			enterPhase('sent', silenceTimeout);
		},
	});
	request.once('response', message => {
		silenceTimer.recordActivity();
		// The body's reader learns of a lost connection from the end of the stream; an error event without a listener would end the process.
		message.on('error', ignoreError);
		const fault = check.getHeadFault(message);
		if (fault !== undefined) {
			fail({kind: 'reset', reason: fault});
			return;
		}

		resolve({
			kind: 'answered', message, silenceTimer, release, abort: fail, getFailure: () => failure, findEndFault: check.findEndFault,
		});
	});
	request.on('error', (error: NodeJS.ErrnoException) => {
		failure ??= getRequestFailure(phase, error.code ?? error.message);
	});
	request.once('close', () => {
		release();
		resolve(failure ?? {kind: 'reset', reason: 'closed'});
	});
	request.end(options.body);
});
