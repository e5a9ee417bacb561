import {Buffer} from 'node:buffer';
import {
	request as createRequest, type ClientRequest, type IncomingMessage, type OutgoingHttpHeaders,
} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '@gentianlift/clock';
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

/** Why an exchange failed. After `unreachable` the request is known not to have executed; after `reset` and `silent` it may have. */
export type ExchangeFailure
	= | {kind: 'unreachable'; reason: string}
		| {kind: 'reset'; reason: string}
		| {kind: 'silent'; after: Milliseconds}
		| {kind: 'cancelled'};

/** A response whose body has not been read yet. Whoever reads the body calls `release` at its end, and `getFailure` if it ended early. */
export type UpstreamResponse = {
	kind: 'answered';
	message: IncomingMessage;
	silenceTimer: SilenceTimer;
	/** Returns why the connection was lost; undefined if it wasn't. */
	getFailure: () => ExchangeFailure | undefined;
	/** Closes the connection for the given reason. */
	abort: (failure: ExchangeFailure) => void;
	/** Stops the silence timer and detaches the abort signal after the body has been read. */
	release: () => void;
};

/** Dependencies of an exchange. */
export type ExchangeContext = {clock: Clock; pool: ConnectionPool};

/** Timeout for getting a connection, new or from the pool. */
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

const onConnected = (request: ClientRequest, callback: () => void): void => {
	request.once('socket', (socket: Socket) => {
		socket.setKeepAlive(true, keepAliveProbeDelay);
		if (socket.connecting) {
			socket.once('connect', callback);
		} else {
			callback();
		}
	});
};

/** Sends a request and resolves when the head of the response arrives, or with the reason why there is none. Never throws. */
export const exchange = async (context: ExchangeContext, options: UpstreamRequest, silenceTimeout: Milliseconds): Promise<UpstreamResponse | ExchangeFailure> => new Promise(resolve => {
	if (options.signal?.aborted) {
		resolve({kind: 'cancelled'});
		return;
	}

	let isConnected = false;
	let failure: ExchangeFailure | undefined;
	const request = openRequest(context, options);
	const fail = (newFailure: ExchangeFailure): void => {
		failure ??= newFailure;
		request.destroy();
	};

	const silenceTimer = createSilenceTimer(context.clock, connectTimeout, after => {
		const {address} = options;
		context.pool.replaceAgent(address);
		fail(isConnected ? {kind: 'silent', after} : {kind: 'unreachable', reason: 'connect-timeout'});
	});
	const onAbort = (): void => {
		fail({kind: 'cancelled'});
	};

	const release = (): void => {
		silenceTimer.stop();
		options.signal?.removeEventListener('abort', onAbort);
	};

	options.signal?.addEventListener('abort', onAbort, {once: true});
	onConnected(request, () => {
		isConnected = true;
		silenceTimer.recordActivity();
		silenceTimer.setLimit(silenceTimeout);
	});
	request.once('response', message => {
		silenceTimer.recordActivity();
		// The body's reader learns of a lost connection from the end of the stream; an error event without a listener would end the process.
		message.on('error', ignoreError);
		resolve({
			kind: 'answered', message, silenceTimer, release, abort: fail, getFailure: () => failure,
		});
	});
	request.on('error', (error: NodeJS.ErrnoException) => {
		const reason = error.code ?? error.message;
		failure ??= isConnected ? {kind: 'reset', reason} : {kind: 'unreachable', reason};
	});
	request.once('close', () => {
		release();
		resolve(failure ?? {kind: 'reset', reason: 'closed'});
	});
	request.end(options.body);
});
