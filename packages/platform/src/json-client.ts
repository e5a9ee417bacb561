import {Buffer} from 'node:buffer';
import {
	Agent, request, type ClientRequest, type IncomingMessage,
} from 'node:http';
import type {Clock} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {Milliseconds} from '@gentianlift/types';

/** A call of a service that speaks JSON over HTTP. */
export type JsonCall = {
	method: 'GET' | 'PUT' | 'POST' | 'DELETE';
	path: string;
	body?: unknown;
	/** Time that the service may take beyond the client's timeout, as for a watch. */
	extraTime?: Milliseconds;
};

/** Outcome of a call: `unavailable` if nothing of it was written, `unknown` if the service may have carried it out. */
export type JsonOutcome
	= | {kind: 'answered'; status: number; body: unknown}
		| {kind: 'unavailable'; reason: string}
		| {kind: 'unknown'; reason: string};

/** What a client of a platform service needs. */
export type PlatformClientOptions = {
	/** Base URL of the service, such as `http://10.0.0.1:7000`. */
	url: string;
	clock: Clock;
	/** Longest time of a call, from its start to the last byte of its reply. */
	timeout: Milliseconds;
	/** Longest time without a byte on a connection under way; the timeout if absent. */
	silenceLimit?: Milliseconds;
	metrics?: Metrics;
};

/** Makes calls over kept-alive connections; never throws. */
export type JsonClient = {
	call: (call: JsonCall) => Promise<JsonOutcome>;
	close: () => void;
};

const longestReply = 64 * 1024 * 1024;
const connectionLimit = 64;

type Exchange = {isWritten: boolean};

const readBody = async (message: IncomingMessage): Promise<string> => {
	const chunks: Uint8Array[] = [];
	let length = 0;
	for await (const chunk of message) {
		const bytes = chunk as Uint8Array;
		length += bytes.length;
		if (length > longestReply) {
			throw new Error('the reply is too long');
		}

		chunks.push(bytes);
	}

	return Buffer.concat(chunks).toString('utf8');
};

const parseBody = (text: string): unknown => text === '' ? undefined : JSON.parse(text) as unknown;

/** Notes when bytes of the request may have left. */
const trackWriting = (outgoing: ClientRequest, exchange: Exchange): void => {
	outgoing.once('socket', socket => {
		const mark = (): void => {
			exchange.isWritten = true;
		};

		if (socket.connecting) {
			socket.once('connect', mark);
		} else {
			mark();
		}
	});
};

const getReason = (error: unknown): string => {
	const {code, message} = error as Error & {code?: string};
	return code ?? message;
};

/** Closes connections that wait for a next call: those that went silent look the same as the others. */
const closeIdle = (agent: Agent): void => {
	for (const sockets of Object.values(agent.freeSockets)) {
		for (const socket of sockets ?? []) {
			socket.destroy();
		}
	}
};

const getReply = async (outgoing: ClientRequest): Promise<IncomingMessage> => new Promise((resolve, reject) => {
	outgoing.once('response', resolve);
	outgoing.once('error', reject);
});

/** Creates a client of a JSON service. */
export const createJsonClient = ({
	url, clock, timeout, silenceLimit = timeout, metrics,
}: PlatformClientOptions): JsonClient => {
	const agent = new Agent({keepAlive: true, maxSockets: connectionLimit});

	const start = ({method, path, body, extraTime = 0}: JsonCall): ClientRequest => {
		const text = body === undefined ? undefined : JSON.stringify(body);
		const headers = text === undefined ? {} : {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)};
		const outgoing = request(new URL(path, url), {
			agent, method, headers, timeout: silenceLimit + extraTime,
		});
		outgoing.once('timeout', () => {
			outgoing.destroy(new Error('silent'));
		});
		outgoing.end(text);
		return outgoing;
	};

	const exchangeOnce = async (call: JsonCall): Promise<JsonOutcome> => {
		const exchange: Exchange = {isWritten: false};
		const outgoing = start(call);
		trackWriting(outgoing, exchange);
		const cancel = clock.after(timeout + (call.extraTime ?? 0), () => {
			outgoing.destroy(new Error('timeout'));
		});
		try {
			const message = await getReply(outgoing);
			return {kind: 'answered', status: message.statusCode ?? 0, body: parseBody(await readBody(message))};
		} catch (error) {
			closeIdle(agent);
			return {kind: exchange.isWritten ? 'unknown' : 'unavailable', reason: getReason(error)};
		} finally {
			cancel();
		}
	};

	return {
		async call(call) {
			// A read on a kept connection that the service has closed in the meantime is made once more.
			const startedAt = clock.monotonic();
			const first = await exchangeOnce(call);
			const outcome = first.kind === 'unknown' && call.method === 'GET' && first.reason === 'ECONNRESET' ? await exchangeOnce(call) : first;
			metrics?.count('platform_calls', {method: call.method, outcome: outcome.kind});
			metrics?.record('platform_call_duration', clock.monotonic() - startedAt, {method: call.method});
			return outcome;
		},
		close() {
			agent.destroy();
		},
	};
};
