import type {HeadFault} from '@gentianlift/http';
import type {AnswerHead} from '../protocol.js';
import type {Incoming} from './incoming.js';
import type {SendOutcome} from './send.js';

/** Whether an answer names another request than the one that it would answer. */
export const isMismatched = (head: AnswerHead, callerRequestId: string | undefined): boolean =>
	head.callerRequestId !== undefined && callerRequestId !== undefined && head.callerRequestId !== callerRequestId;

/** What speaks against an answer as that of a request: what is wrong with its head, its caller's id, and whether earlier answers on the connection named theirs. */
type AnswerContext = {fault: HeadFault | undefined; callerRequestId: string | undefined; hasNamedRequests: boolean};

/** Returns why an answer isn't taken for that of a request; undefined if it is. */
const getDoubt = (head: AnswerHead, {fault, callerRequestId, hasNamedRequests}: AnswerContext): string | undefined => {
	if (fault !== undefined) {
		return fault;
	}

	if (isMismatched(head, callerRequestId)) {
		return 'answer-of-another-request';
	}

	return hasNamedRequests && head.callerRequestId === undefined ? 'answer-without-request' : undefined;
};

/**
 * Classifies an answer by its head; closes the connection of one that is malformed or has an invalid status, of one that isn't taken for that of the request,
 * of a success without the mark of an upstream, and of a rejection: written once more, it would look like that of the next request.
 */
export const classifyAnswer = (answer: Incoming, head: AnswerHead, context: AnswerContext): SendOutcome => {
	const {message} = answer;
	const doubt = getDoubt(head, context);
	if (doubt !== undefined) {
		message.destroy();
		return {kind: 'broken', reason: doubt};
	}

	if (head.isNotExecuted) {
		message.destroy();
		return {kind: 'rejected', status: head.status};
	}

	const isSuccess = head.status >= 200 && head.status < 300;
	if (isSuccess && !head.hasUpstreamMark) {
		message.destroy();
		return {kind: 'broken', reason: 'answer-unsigned'};
	}

	return {kind: 'answered', head, answer};
};
