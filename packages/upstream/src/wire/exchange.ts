import {Buffer} from 'node:buffer';
import {
	request as createRequest, type ClientRequest, type IncomingMessage, type OutgoingHttpHeaders,
} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '@gentianlift/clock';
import {splitAddress, type Address, type Milliseconds} from '@gentianlift/types';
import type {Pool} from './pool.js';
import {createSilenceWatch, type SilenceWatch} from './silence.js';

/** One request to an upstream. */
export type UpstreamRequest = {
	address: Address;
	method: string;
	path: string;
	headers: OutgoingHttpHeaders;
	body?: Uint8Array | string;
	/** Aborting closes the connection. */
	signal?: AbortSignal;
};

/** How an exchange ended without an answer. `unreachable` is certain not to have run; `reset` and `silent` may have. */
export type ExchangeFailure
	= | {kind: 'unreachable'; reason: string}
		| {kind: 'reset'; reason: string}
		| {kind: 'silent'; after: Milliseconds}
		| {kind: 'cancelled'};

/** An answer whose body is still to be read. The reader stops `silence` and looks at `getFailure` when the body ends early. */
export type Answer = {
	kind: 'answered';
	response: IncomingMessage;
	silence: SilenceWatch;
	/** Why the connection was lost; undefined while it wasn't. */
	getFailure: () => ExchangeFailure | undefined;
	/** Closes the connection for the given reason. */
	abandon: (failure: ExchangeFailure) => void;
	/** Ends the watch and detaches the abort signal once the body has been read. */
	finish: () => void;
};

/** Dependencies of an exchange. */
export type ExchangeContext = {clock: Clock; pool: Pool};

/** Time to get a connection, whether new or from the pool. */
const connectTimeout: Milliseconds = 2000;
/** Idle time after which the kernel probes the other end of a connection. */
const probeDelay: Milliseconds = 5000;

const ignoreError = (): void => undefined;

const open = (context: ExchangeContext, {address, method, path, headers, body}: UpstreamRequest): ClientRequest => {
	const length = body === undefined ? {} : {'content-length': Buffer.byteLength(body)};
	const request = createRequest({
		...splitAddress(address), method, path, headers: {...headers, ...length}, agent: context.pool.getAgent(address),
	});
	request.setNoDelay(true);
	return request;
};

const onConnected = (request: ClientRequest, run: () => void): void => {
	request.once('socket', (socket: Socket) => {
		socket.setKeepAlive(true, probeDelay);
		if (socket.connecting) {
			socket.once('connect', run);
		} else {
			run();
		}
	});
};

/** Sends a request and resolves with its answer's head, or with why there is none. Never throws. */
export const exchange = async (context: ExchangeContext, wanted: UpstreamRequest, limit: Milliseconds): Promise<Answer | ExchangeFailure> => new Promise(resolve => {
	if (wanted.signal?.aborted) {
		resolve({kind: 'cancelled'});
		return;
	}

	let isConnected = false;
	let failure: ExchangeFailure | undefined;
	const request = open(context, wanted);
	const fail = (next: ExchangeFailure): void => {
		failure ??= next;
		request.destroy();
	};

	const silence = createSilenceWatch(context.clock, connectTimeout, after => {
		const {address} = wanted;
		context.pool.replaceAgent(address);
		fail(isConnected ? {kind: 'silent', after} : {kind: 'unreachable', reason: 'connect-timeout'});
	});
	const abort = (): void => {
		fail({kind: 'cancelled'});
	};

	const finish = (): void => {
		silence.stop();
		wanted.signal?.removeEventListener('abort', abort);
	};

	wanted.signal?.addEventListener('abort', abort, {once: true});
	onConnected(request, () => {
		isConnected = true;
		silence.touch();
		silence.setLimit(limit);
	});
	request.once('response', response => {
		silence.touch();
		// A lost connection is told by the response's end; without a listener its error would end the process.
		response.on('error', ignoreError);
		resolve({
			kind: 'answered', response, silence, finish, abandon: fail, getFailure: () => failure,
		});
	});
	request.on('error', (error: NodeJS.ErrnoException) => {
		const reason = error.code ?? error.message;
		failure ??= isConnected ? {kind: 'reset', reason} : {kind: 'unreachable', reason};
	});
	request.once('close', () => {
		finish();
		resolve(failure ?? {kind: 'reset', reason: 'closed'});
	});
	request.end(wanted.body);
});
