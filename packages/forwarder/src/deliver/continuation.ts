import type {Progress} from '../call.js';
import type {AnswerHead} from '../protocol.js';

const okStatus = 200;

/**
 * Returns why an answer can't go on with a stream of which the caller has the head; undefined if it can, or if none has
 * begun. The head can't be replaced, so that only another stream with the status of all continuations can follow.
 */
export const findHeadObstacle = ({hasBegun}: Progress, {status, isEventStream}: AnswerHead): string | undefined => {
	if (!hasBegun) {
		return undefined;
	}

	if (status !== okStatus) {
		return `status-${status}`;
	}

	return isEventStream ? undefined : 'no-event-stream';
};
