import {request as createRequest, type Agent, type IncomingMessage} from 'node:http';
import {createInterface} from 'node:readline';
import {finished} from 'node:stream/promises';
import type {Clock} from '@gentianlift/clock';
import type {Address, Milliseconds, RunState} from '@gentianlift/types';
import type {Arrival} from '../queries/get-arrivals.js';

/** Result of one attempt of a caller. */
export type Reply = {
	/** HTTP status; 0 if the connection failed before an answer. */
	status: number;
	/** Whether the terminal event, or the complete body, has arrived. */
	isComplete: boolean;
	/** Text of the answer's tokens, or the body. */
	text: string;
	/** Number of streamed tokens. */
	tokens: number;
	/** Time of the first token, or of the first byte of the body. */
	firstAt?: Milliseconds;
	/** Time of the end of the answer, or of the connection's failure. */
	lastAt: Milliseconds;
	/** Request id that the router returned; empty without an answer. */
	request: string;
	/** Whether the request was executed, as the router states it. */
	ran: RunState;
	/** Error kind sent by the router; `connection` if the connection failed, `cut-short` if the answer ended early. */
	error?: string;
	/** The router's advice whether to retry. */
	retry?: string;
	/** Delay before a retry that the router asks for. */
	retryAfter?: Milliseconds;
};

/** Destination and transport of an attempt; `timeout` is the idle timeout of the connection. */
export type Target = {address: Address; key: string; agent: Agent; clock: Clock; timeout: Milliseconds};

/** Data of a stream's event, or an error body. */
type EventData = {
	choices?: Array<{delta?: {content?: string}}>;
	error?: {code: string; ran: RunState; retry: string; retry_after?: number};
};

const millisecondsPerSecond = 1000;

const applyError = (reply: Reply, {error}: EventData): void => {
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

const applyEvent = (reply: Reply, data: string, clock: Clock): void => {
	if (data === terminalEvent) {
		reply.isComplete = true;
		return;
	}

	const chunk = JSON.parse(data) as EventData;
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
			applyEvent(reply, line.slice(dataField.length), clock);
		}
	});
	// The line reader re-emits the errors of its input, which `finished` reports below.
	lines.on('error', () => undefined);
	await finished(message);
};

const readBody = async (message: IncomingMessage, reply: Reply, clock: Clock): Promise<void> => {
	message.setEncoding('utf8');
	for await (const part of message) {
		reply.firstAt ??= clock.monotonic();
		reply.text += String(part);
	}

	reply.isComplete = message.complete;
	if (reply.status >= 400) {
		applyError(reply, JSON.parse(reply.text) as EventData);
	}
};

const getHeader = (message: IncomingMessage, name: string): string => String(message.headers[name] ?? '');

const readReply = async (message: IncomingMessage, reply: Reply, clock: Clock): Promise<void> => {
	reply.status = message.statusCode ?? 0;
	reply.request = getHeader(message, 'x-request-id');
	reply.ran = (getHeader(message, 'x-ran') || 'unknown') as RunState;
	await (getHeader(message, 'content-type').startsWith('text/event-stream')
		? readEvents(message, reply, clock)
		: readBody(message, reply, clock));
	reply.lastAt = clock.monotonic();
	if (!reply.isComplete) {
		reply.error ??= 'cut-short';
	}
};

const getHeaders = (arrival: Arrival, key: string): Record<string, string> => ({
	authorization: `Bearer ${key}`,
	...(arrival.body !== undefined && {'content-type': 'application/json'}),
	...(arrival.idempotencyKey !== undefined && {'idempotency-key': arrival.idempotencyKey}),
});

/** Sends one attempt and reads its answer; failures are reported in the reply, none is thrown. */
export const sendRequest = async (arrival: Arrival, target: Target): Promise<Reply> => {
	const reply: Reply = {
		status: 0, isComplete: false, text: '', tokens: 0, lastAt: 0, request: '', ran: 'unknown',
	};
	try {
		const message = await new Promise<IncomingMessage>((resolve, reject) => {
			const [host = '', port = ''] = target.address.split(':');
			const outgoing = createRequest({
				host, port, method: arrival.method, path: arrival.path, agent: target.agent, timeout: target.timeout, headers: getHeaders(arrival, target.key),
			}, resolve);
			outgoing.on('error', reject);
			outgoing.on('timeout', () => {
				outgoing.destroy(new Error('no data within the idle timeout'));
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
