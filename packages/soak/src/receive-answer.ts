import type {RequestOptions} from 'node:http';
import {getBody, getStream} from './answers.js';
import type {CallOptions, CallResult} from './deployment.js';
import {isCompleteResponse, sendAndReceive} from './exchange.js';
import type {Outcome} from './guarantees.js';

/** Sends a request whose answer its caller never resumes, and compares that with what its upstream sends. */
export const receiveAnswer = async ({attempt, kind, address, timeout}: CallOptions, request: RequestOptions, patience: number): Promise<CallResult> => {
	const startedAt = performance.now();
	const result = await sendAndReceive(request, kind === 'lookup' ? '' : attempt, patience);
	const expected = kind === 'stream' ? getStream(attempt) : getBody(attempt);
	const outcome: Outcome = isCompleteResponse(result) ? {kind: 'answered', status: result.status, isOwn: result.text === expected} : result;
	return {
		outcome,
		versions: [],
		requests: [{
			attempt, address, timeout, startedAt, endedAt: performance.now(), outcome,
		}],
	};
};
