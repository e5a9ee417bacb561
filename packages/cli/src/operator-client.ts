import {request, type IncomingMessage} from 'node:http';
import type {Milliseconds} from '@gentianlift/types';
import type {OperatorTarget} from './targets.js';

/** A call of a host's operators' listener. */
export type OperatorCall = {method: 'GET' | 'POST'; path: string; body?: unknown};

/** Outcome of a call. */
export type OperatorOutcome
	= | {kind: 'answered'; status: number; body: unknown}
		| {kind: 'unreachable'; reason: string};

/** Calls a host; never throws. */
export type OperatorClient = (target: OperatorTarget, call: OperatorCall) => Promise<OperatorOutcome>;

const timeout: Milliseconds = 3000;

const readBody = async (message: IncomingMessage): Promise<unknown> => {
	let text = '';
	for await (const part of message) {
		text += String(part);
	}

	try {
		return JSON.parse(text) as unknown;
	} catch {
		return text;
	}
};

/** Calls a host's operators' listener over HTTP. */
export const callOperator: OperatorClient = async ({address}, {method, path, body}) => new Promise(resolve => {
	const text = body === undefined ? '' : JSON.stringify(body);
	const call = request(`http://${address}${path}`, {
		method, agent: false, signal: AbortSignal.timeout(timeout), headers: {'content-type': 'application/json'},
	});
	const fail = (error: unknown): void => {
		resolve({kind: 'unreachable', reason: error instanceof Error ? error.message : String(error)});
	};

	const answer = async (message: IncomingMessage): Promise<void> => {
		try {
			resolve({kind: 'answered', status: message.statusCode ?? 0, body: await readBody(message)});
		} catch (error) {
			fail(error);
		}
	};

	call.on('error', fail);
	call.on('response', message => {
		void answer(message);
	});
	call.end(text);
});
