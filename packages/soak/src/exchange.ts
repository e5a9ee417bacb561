import {
	request, type ClientRequest, type IncomingMessage, type RequestOptions,
} from 'node:http';
import type {Milliseconds} from '@gentianlift/types';
import type {Outcome} from './guarantees.js';

/** Called with each piece of a body. */
export type TextListener = (text: string) => void;

/** Reads a body as text; rejects if it breaks off. */
export const readText = async (message: IncomingMessage, onText: TextListener = () => undefined): Promise<string> => {
	message.setEncoding('utf8');
	let text = '';
	for await (const chunk of message) {
		text += String(chunk);
		onText(String(chunk));
	}

	return text;
};

const getReason = (error: Error & {code?: string}): string => error.code ?? error.message;

/** A complete answer. */
export type CompleteResponse = {status: number; text: string};

/** A complete answer, or how the request ended without one. */
export type ExchangeResult = CompleteResponse | Outcome;

/** Sends a request and reads its answer; resolves with an outcome instead if no complete answer arrives within the timeout. `onText` is called with each piece of the body, also of one that isn't completed. */
export const sendAndReceive = async (options: RequestOptions, body: string, timeout: Milliseconds, onText: TextListener = () => undefined): Promise<ExchangeResult> => new Promise(resolve => {
	let isConnected = false;
	let sentAt: Milliseconds | undefined;
	const outgoing: ClientRequest = request(options);
	const timer = setTimeout(() => {
		resolve({kind: 'given-up'});
		outgoing.destroy();
	}, timeout);
	const finish = (result: ExchangeResult): void => {
		clearTimeout(timer);
		resolve(result);
	};

	outgoing.once('socket', socket => {
		isConnected = !socket.connecting;
		if (!isConnected) {
			socket.once('connect', () => {
				isConnected = true;
			});
		}
	});
	outgoing.once('finish', () => {
		sentAt = performance.now();
	});
	const breakOff = (error: Error): void => {
		const now = performance.now();
		finish({kind: 'broken', reason: getReason(error), sentFor: now - (sentAt ?? now)});
	};

	outgoing.once('error', error => {
		if (isConnected) {
			breakOff(error);
		} else {
			finish({kind: 'unsent', reason: getReason(error)});
		}
	});
	const readResponse = async (message: IncomingMessage): Promise<void> => {
		try {
			finish({status: message.statusCode ?? 0, text: await readText(message, onText)});
		} catch (error) {
			breakOff(error as Error);
		}
	};

	outgoing.once('response', message => {
		void readResponse(message);
	});
	outgoing.end(body);
});

/** Returns whether a result is a complete answer. */
export const isCompleteResponse = (result: ExchangeResult): result is CompleteResponse => 'status' in result && 'text' in result;
