import type {Call, Progress} from '../call.js';
import type {Incoming} from '../send/incoming.js';
import type {AnsweredOutcome, ForwardOutcome, BufferedAnswer} from './forward-outcome.js';
import {writeAnswerHead} from './deliver.js';
import {readBody} from './read-body.js';

/** Size limit of the body of a buffered answer. */
const maxBufferedBytes = 16 * 1024 * 1024;

/** Whether a status reports that the upstream failed to execute the request. */
export const isServerError = (status: number): boolean => status >= 500;
/** Whether callers take a status as a statement that the request was not executed. */
export const impliesNotExecuted = (status: number): boolean => [408, 421, 429, 503].includes(status);

/** Receives the body of an answer until it is complete. */
const receiveBuffered = async (answer: Incoming, progress: Progress): Promise<{kind: 'whole'; bytes: Uint8Array} | {kind: 'failed'; reason: string}> => {
	const body = await readBody(answer, maxBufferedBytes, progress.held);
	if (body.kind === 'too-large' || body.kind === 'released') {
		answer.message.destroy();
		return {kind: 'failed', reason: body.kind};
	}

	progress.bodyEnd = body.end;
	return body.kind === 'broken' ? {kind: 'failed', reason: body.reason} : body;
};

/** Buffers an answer until it is complete, and delivers it unless the request may be retried after a server error. */
export const deliverBuffered = async (call: Call, progress: Progress, {head, answer}: AnsweredOutcome, isClosing: () => boolean): Promise<ForwardOutcome> => {
	const body = await receiveBuffered(answer, progress);
	if (body.kind === 'failed') {
		return body;
	}

	if (impliesNotExecuted(head.status)) {
		// The upstream doesn't state that it has not executed the request, so the caller must not get a status that implies it.
		return {kind: 'failed', reason: `status-${head.status}`};
	}

	const bufferedAnswer = {head, bytes: body.bytes};
	if (isServerError(head.status) && call.mayExecuteAgain) {
		return {kind: 'failed', reason: `status-${head.status}`, buffered: bufferedAnswer};
	}

	writeBufferedAnswer(call, bufferedAnswer, isClosing());
	return {kind: 'delivered', status: head.status};
};

/** Buffers an answer until it is complete, and delivers it whatever its status. */
export const deliverUnchanged = async (call: Call, progress: Progress, {head, answer}: AnsweredOutcome, isClosing: () => boolean): Promise<ForwardOutcome> => {
	const body = await receiveBuffered(answer, progress);
	if (body.kind === 'failed') {
		return body;
	}

	writeBufferedAnswer(call, {head, bytes: body.bytes}, isClosing());
	return {kind: 'delivered', status: head.status};
};

/** Writes a complete answer to the caller. */
export const writeBufferedAnswer = ({response}: Call, {head, bytes}: BufferedAnswer, isClosing: boolean): void => {
	const hasLength = head.forwarded.some((name, index) => index % 2 === 0 && name.toLowerCase() === 'content-length');
	const length = hasLength ? [] : ['Content-Length', String(bytes.length)];
	writeAnswerHead(response, {...head, forwarded: [...head.forwarded, ...length]}, isClosing);
	response.end(bytes);
};
