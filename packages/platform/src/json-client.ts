import {Buffer} from 'node:buffer';
import {
	Agent, request, type ClientRequest, type IncomingHttpHeaders, type IncomingMessage,
} from 'node:http';
import {startTimeLimit, type Cancel, type Clock} from '@gentianlift/clock';
import {checkAnswer} from '@gentianlift/http';
import type {Metrics} from '@gentianlift/metrics';
import type {Milliseconds} from '@gentianlift/types';
import {readReply, type ReplyList, type ReplyProgress} from './read-reply.js';
import {maxReplySize, OversizedReplyError, type ReplySize} from './reply-size.js';

/** A request to a service with a JSON API over HTTP. */
export type JsonCall = {
	method: 'GET' | 'PUT' | 'POST' | 'DELETE';
	path: string;
	body?: unknown;
	headers?: Readonly<Record<string, string>>;
	/** Ends the call at once; one that hasn't begun is `unavailable`. */
	signal?: AbortSignal;
	/** Time by which both timeouts are extended, for calls that the service holds open, such as a watch. */
	timeoutExtension?: Milliseconds;
	/** List of the reply whose items are read one at a time; the body has those of them that are kept. */
	list?: ReplyList;
};

/** Outcome of a call: `unavailable` if no byte of the request was sent, `unknown` if the service may have executed it, also if its reply isn't HTTP or has a status that no final one has; `isOversized` says that its reply was larger than one may be, or than could be read in time. */
export type JsonOutcome
	= | {kind: 'answered'; status: number; headers: IncomingHttpHeaders; body: unknown; size: ReplySize}
		| {kind: 'unavailable'; reason: string}
		| {kind: 'unknown'; reason: string; isOversized?: true};

/** Returns why an outcome isn't the expected one, for logs. */
export const getReason = (outcome: JsonOutcome): string => outcome.kind === 'answered' ? `status ${outcome.status}` : outcome.reason;

/** Whether the reply of a call was larger than one may be. */
export const isOversizedReply = (outcome: JsonOutcome): boolean => outcome.kind === 'unknown' && outcome.isOversized === true;

/** Options of a client of a platform service. */
export type PlatformClientOptions = {
	/** Base URL of the service, such as `http://10.0.0.1:7000`. */
	url: string;
	clock: Clock;
	/** Timeout of a call, from its start to the last byte of the reply, unless `bodyTimeout` allows more. */
	timeout: Milliseconds;
	/** Longest time in which the body of a reply arrives after its head, for large replies; `timeout` bounds it if absent. */
	bodyTimeout?: Milliseconds;
	/** Time after which a call on an inactive connection fails; `timeout` if absent. */
	idleTimeout?: Milliseconds;
	/** Whether the connection of a call that ends without a reply is reset, so that nothing of the call arrives later; without that, what waits to be sent still is. */
	resetsConnections?: boolean;
	/** Whether the service may compress its replies. */
	acceptsCompression?: boolean;
	metrics?: Metrics;
};

/** Client that pools keep-alive connections. Calls never throw: failures are outcomes. */
export type JsonClient = {
	call: (call: JsonCall) => Promise<JsonOutcome>;
	close: () => void;
};

const maxConnections = 64;

/** Whether any byte of a request may have been sent. */
type WriteProgress = {isWritten: boolean};

/** Records when the request is written to a connected socket: from then on the service may have received it. */
const trackRequestWritten = (outgoing: ClientRequest, writeProgress: WriteProgress): void => {
	outgoing.once('socket', socket => {
		const markWritten = (): void => {
			writeProgress.isWritten = true;
		};

		if (socket.connecting) {
			socket.once('connect', markWritten);
		} else {
			markWritten();
		}
	});
};

const getErrorReason = (error: unknown): string => {
	const {code, message} = error as Error & {code?: string};
	return code ?? message;
};

/** Closes the pooled idle connections: after a failure others of them may be dead too, which can't be told before they are used. */
const closeIdleConnections = (agent: Agent): void => {
	for (const sockets of Object.values(agent.freeSockets)) {
		for (const socket of sockets ?? []) {
			socket.destroy();
		}
	}
};

const waitForReply = async (outgoing: ClientRequest): Promise<IncomingMessage> => new Promise((resolve, reject) => {
	outgoing.once('response', resolve);
	outgoing.on('error', reject);
});

/** Abandons a request whose reply is none, and throws why. */
const refuseFault = (fault: string | undefined, abandon: (error: Error) => void): void => {
	if (fault !== undefined) {
		const error = new Error(fault);
		abandon(error);
		throw error;
	}
};

/** A timeout of a request: a promise that rejects when it has passed, and a function that ends it before. */
type Timeout = {expired: Promise<never>; cancel: Cancel};

/** What ends a call without a reply: time, and the caller. */
type CallLimits = {clock: Clock; timeout: Milliseconds; signal: AbortSignal | undefined};

/** Abandons a request after a timeout or when its caller ends it, and rejects then: Node reports nothing about a destroyed request that waits until a connection is free. */
const startTimeout = (abandon: (error: Error) => void, {clock, timeout, signal}: CallLimits): Timeout => {
	let cancel: Cancel = () => undefined;
	const expired = new Promise<never>((_resolve, reject) => {
		const end = (reason: string): void => {
			const error = new Error(reason);
			abandon(error);
			reject(error);
		};

		const onAbort = (): void => {
			end('aborted');
		};

		const cancelLimit = startTimeLimit(clock, timeout, () => {
			end('timeout');
		});
		signal?.addEventListener('abort', onAbort);
		cancel = () => {
			cancelLimit();
			signal?.removeEventListener('abort', onAbort);
		};
	});
	return {expired, cancel};
};

/** Resets the connection of a request if it has one; a connection that isn't established yet has sent nothing, and is only destroyed. */
const resetConnection = ({socket}: ClientRequest): void => {
	if (socket !== null && !socket.connecting && !socket.destroyed) {
		socket.resetAndDestroy();
	}
};

/** Creates a client of a service with a JSON API. */
export const createJsonClient = ({
	url, clock, timeout, bodyTimeout = 0, idleTimeout = timeout, acceptsCompression = false, resetsConnections = false, metrics,
}: PlatformClientOptions): JsonClient => {
	const agent = new Agent({keepAlive: true, maxSockets: maxConnections});

	const abandonRequest = (outgoing: ClientRequest, error: Error): void => {
		if (resetsConnections) {
			resetConnection(outgoing);
		}

		outgoing.destroy(error);
	};

	const startRequest = ({
		method, path, body, headers: callHeaders, timeoutExtension = 0,
	}: JsonCall): ClientRequest => {
		const text = body === undefined ? undefined : JSON.stringify(body);
		const headers = {
			...callHeaders,
			...(acceptsCompression && {'accept-encoding': 'gzip'}),
			...(text !== undefined && {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)}),
		};
		const outgoing = request(new URL(path, url), {
			agent, method, headers, timeout: idleTimeout + timeoutExtension,
		});
		outgoing.once('timeout', () => {
			abandonRequest(outgoing, new Error('silent'));
		});
		outgoing.end(text);
		return outgoing;
	};

	const attemptCall = async (call: JsonCall): Promise<JsonOutcome> => {
		const {signal} = call;
		if (signal?.aborted === true) {
			return {kind: 'unavailable', reason: 'aborted'};
		}

		const writeProgress: WriteProgress = {isWritten: false};
		const outgoing = startRequest(call);
		trackRequestWritten(outgoing, writeProgress);
		const check = checkAnswer(outgoing);
		const abandon = (error: Error): void => {
			abandonRequest(outgoing, error);
		};

		const endsAt = clock.monotonic() + timeout + (call.timeoutExtension ?? 0);
		const forHead = startTimeout(abandon, {clock, timeout: endsAt - clock.monotonic(), signal});
		const progress: ReplyProgress = {bytes: 0};
		let forBody: Timeout | undefined;
		try {
			const message = await Promise.race([waitForReply(outgoing), forHead.expired]);
			forHead.cancel();
			refuseFault(check.getHeadFault(message), abandon);
			forBody = startTimeout(abandon, {clock, timeout: Math.max(endsAt - clock.monotonic(), bodyTimeout), signal});
			const reply = await Promise.race([readReply(message, {list: call.list, progress}), forBody.expired]);
			refuseFault(await Promise.race([check.findEndFault(), forBody.expired]), abandon);
			return {
				kind: 'answered', status: message.statusCode ?? 0, headers: message.headers, ...reply,
			};
		} catch (error) {
			closeIdleConnections(agent);
			return error instanceof OversizedReplyError || progress.bytes > maxReplySize.bytes
				? {kind: 'unknown', reason: getErrorReason(error), isOversized: true}
				: {kind: writeProgress.isWritten ? 'unknown' : 'unavailable', reason: getErrorReason(error)};
		} finally {
			forHead.cancel();
			forBody?.cancel();
		}
	};

	return {
		async call(call) {
			// A read is retried once after a connection reset: the service may have closed the keep-alive connection while it was idle.
			const startedAt = clock.monotonic();
			const first = await attemptCall(call);
			const outcome = first.kind === 'unknown' && call.method === 'GET' && first.reason === 'ECONNRESET' ? await attemptCall(call) : first;
			metrics?.count('platform_calls', {method: call.method, outcome: outcome.kind});
			metrics?.record('platform_call_duration', clock.monotonic() - startedAt, {method: call.method});
			return outcome;
		},
		close() {
			agent.destroy();
		},
	};
};
