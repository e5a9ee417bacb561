import type {AttemptEnd, HeldAnswer} from './attempt-end.js';
import type {Call} from './call.js';
import {writeAnswerHead} from './deliver.js';
import {readBody} from './read-body.js';
import type {SendOutcome} from './send.js';

/** Most bytes of an answer that is held until it is whole. */
const mostHeldBytes = 16 * 1024 * 1024;

/** Whether an upstream says that it failed while it ran the request. */
export const isOwnFailure = (status: number): boolean => status >= 500;
/** Whether a status tells callers that the request has not run. */
const promisesNotRun = (status: number): boolean => [408, 421, 429, 503].includes(status);

/** Holds an answer until it is whole, and delivers it unless another upstream may do better. */
export const deliverWhole = async (call: Call, {head, answer}: Extract<SendOutcome, {kind: 'answered'}>, isLast: boolean): Promise<AttemptEnd> => {
	const body = await readBody(answer, mostHeldBytes);
	if (body.kind !== 'whole') {
		return {kind: 'failed', reason: body.kind === 'broken' ? body.reason : body.kind};
	}

	if (promisesNotRun(head.status)) {
		// The upstream doesn't say that the request wasn't run, so its status must not say so to the caller.
		return {kind: 'failed', reason: `status-${head.status}`};
	}

	const held = {head, bytes: body.bytes};
	if (isOwnFailure(head.status) && call.isRepeatable) {
		return {kind: 'failed', reason: `status-${head.status}`, held};
	}

	writeHeldAnswer(call, held, isLast);
	return {kind: 'delivered', status: head.status};
};

/** Writes a whole answer to the caller. */
export const writeHeldAnswer = ({response}: Call, {head, bytes}: HeldAnswer, isLast: boolean): void => {
	const hasLength = head.forwarded.some((name, index) => index % 2 === 0 && name.toLowerCase() === 'content-length');
	const length = hasLength ? [] : ['Content-Length', String(bytes.length)];
	writeAnswerHead(response, {...head, forwarded: [...head.forwarded, ...length]}, isLast);
	response.end(bytes);
};
