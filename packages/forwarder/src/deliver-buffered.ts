import type {AttemptOutcome, BufferedAnswer} from './attempt-outcome.js';
import type {Call} from './call.js';
import {writeAnswerHead} from './deliver.js';
import {readBody} from './read-body.js';
import type {SendOutcome} from './send.js';

/** Most bytes of an answer that is held until it is whole. */
const maxBufferedBytes = 16 * 1024 * 1024;

/** Whether an upstream says that it failed while it ran the request. */
export const isServerError = (status: number): boolean => status >= 500;
/** Whether a status tells callers that the request has not run. */
const impliesNotExecuted = (status: number): boolean => [408, 421, 429, 503].includes(status);

/** Holds an answer until it is whole, and delivers it unless another upstream may do better. */
export const deliverBuffered = async (call: Call, {head, answer}: Extract<SendOutcome, {kind: 'answered'}>, isClosing: boolean): Promise<AttemptOutcome> => {
	const body = await readBody(answer, maxBufferedBytes);
	if (body.kind !== 'whole') {
		return {kind: 'failed', reason: body.kind === 'broken' ? body.reason : body.kind};
	}

	if (impliesNotExecuted(head.status)) {
		// The upstream doesn't say that the request wasn't run, so its status must not say so to the caller.
		return {kind: 'failed', reason: `status-${head.status}`};
	}

	const held = {head, bytes: body.bytes};
	if (isServerError(head.status) && call.isRetryable) {
		return {kind: 'failed', reason: `status-${head.status}`, buffered: held};
	}

	writeBufferedAnswer(call, held, isClosing);
	return {kind: 'delivered', status: head.status};
};

/** Writes a whole answer to the caller. */
export const writeBufferedAnswer = ({response}: Call, {head, bytes}: BufferedAnswer, isClosing: boolean): void => {
	const hasLength = head.forwarded.some((name, index) => index % 2 === 0 && name.toLowerCase() === 'content-length');
	const length = hasLength ? [] : ['Content-Length', String(bytes.length)];
	writeAnswerHead(response, {...head, forwarded: [...head.forwarded, ...length]}, isClosing);
	response.end(bytes);
};
