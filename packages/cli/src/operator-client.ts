import {request, type IncomingMessage} from 'node:http';
import {checkAnswer} from '@gentianlift/http';
import type {Milliseconds} from '@gentianlift/types';
import type {OperatorEndpoint} from './endpoints.js';

/** Call to the operator listener of a host. */
export type OperatorCall = {method: 'GET' | 'POST'; path: string; body?: unknown};

/** Outcome of a call to an operator listener; the body is text if it isn't JSON. After `unreadable`, which isn't a final answer of HTTP, the host may have carried out the call. */
export type OperatorOutcome
	= | {kind: 'answered'; status: number; body: unknown}
		| {kind: 'unreadable'; reason: string}
		| {kind: 'unreachable'; reason: string};

/** Calls the operator listener of a host; never rejects. */
export type OperatorClient = (endpoint: OperatorEndpoint, call: OperatorCall) => Promise<OperatorOutcome>;

const timeout: Milliseconds = 3000;

const readBody = async (response: IncomingMessage): Promise<unknown> => {
	let text = '';
	for await (const chunk of response) {
		text += String(chunk);
	}

	try {
		return JSON.parse(text) as unknown;
	} catch {
		return text;
	}
};

/** Whether an error is one of Node's parser, so that an answer has come. */
const isParserError = (error: unknown): boolean =>
	error instanceof Error && 'code' in error && String(error.code).startsWith('HPE_');

/** Calls the operator listener of a host over HTTP. */
export const callOperator: OperatorClient = async ({address}, {method, path, body}) => new Promise(resolve => {
	const text = body === undefined ? '' : JSON.stringify(body);
	const clientRequest = request(`http://${address}${path}`, {
		method, agent: false, signal: AbortSignal.timeout(timeout), headers: {'content-type': 'application/json'},
	});
	const check = checkAnswer(clientRequest);
	const fail = (error: unknown): void => {
		resolve({kind: isParserError(error) ? 'unreadable' : 'unreachable', reason: error instanceof Error ? error.message : String(error)});
	};

	const resolveResponse = async (response: IncomingMessage): Promise<void> => {
		const fault = check.getHeadFault(response);
		if (fault !== undefined) {
			resolve({kind: 'unreadable', reason: fault});
			clientRequest.destroy();
			return;
		}

		try {
			const answer = await readBody(response);
			const endFault = await check.findEndFault();
			resolve(endFault === undefined
				? {kind: 'answered', status: response.statusCode ?? 0, body: answer}
				: {kind: 'unreadable', reason: endFault});
		} catch (error) {
			fail(error);
		}
	};

	clientRequest.on('error', fail);
	clientRequest.on('response', response => {
		void resolveResponse(response);
	});
	clientRequest.end(text);
});
