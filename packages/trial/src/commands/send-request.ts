import {request as createRequest, type Agent, type IncomingMessage} from 'node:http';
import {createInterface} from 'node:readline';
import {finished} from 'node:stream/promises';
import type {Clock} from '@gentianlift/clock';
import type {Address, Milliseconds, RunState} from '@gentianlift/types';
import type {Arrival} from '../queries/get-arrivals.js';

/** How one attempt of a caller ended. */
export type Reply = {
	/** 0 if the connection failed before an answer. */
	status: number;
	/** True once the terminal event, or the whole body, has arrived. */
	whole: boolean;
	text: string;
	tokens: number;
	/** Moment of the first token or byte of the body. */
	firstAt?: Milliseconds;
	lastAt: Milliseconds;
	request: string;
	ran: RunState;
	/** Error kind of the router; `connection` if the connection failed. */
	error?: string;
	retry?: string;
	retryAfter?: Milliseconds;
};

/** Where and how an attempt is sent. */
export type Target = {address: Address; key: string; agent: Agent; clock: Clock; timeout: Milliseconds};

type Chunk = {
	choices?: Array<{delta?: {content?: string}}>;
	error?: {code: string; ran: RunState; retry: string; retry_after?: number};
};

const millisecondsPerSecond = 1000;

const applyError = (reply: Reply, {error}: Chunk): void => {
	if (error === undefined) {
		return;
	}

	reply.error = error.code;
	reply.ran = error.ran;
	reply.retry = error.retry;
	if (error.retry_after !== undefined) {
		reply.retryAfter = error.retry_after * millisecondsPerSecond;
	}
};

const dataField = 'data: ';
const terminalEvent = '[DONE]';

const applyData = (reply: Reply, data: string, clock: Clock): void => {
	if (data === terminalEvent) {
		reply.whole = true;
		return;
	}

	const chunk = JSON.parse(data) as Chunk;
	const content = chunk.choices?.[0]?.delta?.content;
	applyError(reply, chunk);
	if (content !== undefined && content !== '') {
		reply.firstAt ??= clock.monotonic();
		reply.lastAt = clock.monotonic();
		reply.text += content;
		reply.tokens++;
	}
};

const readEvents = async (message: IncomingMessage, reply: Reply, clock: Clock): Promise<void> => {
	const lines = createInterface({input: message});
	lines.on('line', line => {
		if (line.startsWith(dataField)) {
			applyData(reply, line.slice(dataField.length), clock);
		}
	});
	// The reader repeats the errors of its input, which are handled below.
	lines.on('error', () => undefined);
	await finished(message);
};

const readWhole = async (message: IncomingMessage, reply: Reply, clock: Clock): Promise<void> => {
	message.setEncoding('utf8');
	for await (const part of message) {
		reply.firstAt ??= clock.monotonic();
		reply.text += String(part);
	}

	reply.whole = message.complete;
	if (reply.status >= 400) {
		applyError(reply, JSON.parse(reply.text) as Chunk);
	}
};

const getHeader = (message: IncomingMessage, name: string): string => String(message.headers[name] ?? '');

const readReply = async (message: IncomingMessage, reply: Reply, clock: Clock): Promise<void> => {
	reply.status = message.statusCode ?? 0;
	reply.request = getHeader(message, 'x-request-id');
	reply.ran = (getHeader(message, 'x-ran') || 'unknown') as RunState;
	await (getHeader(message, 'content-type').startsWith('text/event-stream')
		? readEvents(message, reply, clock)
		: readWhole(message, reply, clock));
	reply.lastAt = clock.monotonic();
	if (!reply.whole) {
		reply.error ??= 'cut-short';
	}
};

const getHeaders = (arrival: Arrival, key: string): Record<string, string> => ({
	authorization: `Bearer ${key}`,
	...(arrival.body !== undefined && {'content-type': 'application/json'}),
	...(arrival.idempotencyKey !== undefined && {'idempotency-key': arrival.idempotencyKey}),
});

/** Sends one attempt and reads its answer; never throws. */
export const sendRequest = async (arrival: Arrival, target: Target): Promise<Reply> => {
	const reply: Reply = {
		status: 0, whole: false, text: '', tokens: 0, lastAt: 0, request: '', ran: 'unknown',
	};
	try {
		const message = await new Promise<IncomingMessage>((resolve, reject) => {
			const [host = '', port = ''] = target.address.split(':');
			const outgoing = createRequest({
				host, port, method: arrival.method, path: arrival.path, agent: target.agent, timeout: target.timeout, headers: getHeaders(arrival, target.key),
			}, resolve);
			outgoing.on('error', reject);
			outgoing.on('timeout', () => {
				outgoing.destroy(new Error('silent'));
			});
			outgoing.end(arrival.body);
		});
		await readReply(message, reply, target.clock);
	} catch {
		reply.lastAt = target.clock.monotonic();
		reply.error ??= 'connection';
	}

	return reply;
};
