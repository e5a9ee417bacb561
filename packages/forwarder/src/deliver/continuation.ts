import {isResumableStream} from '@gentianlift/routing';
import type {Call, Progress} from '../call.js';
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

/** Whether another upstream can go on where the caller of a stream that broke off is: before its first bytes, or if all its events are numbered. */
export const canContinue = ({route}: Call, {hasBegun, lastEventId, hasUnnumberedEvents}: Progress): boolean =>
	!hasBegun || (isResumableStream(route) && lastEventId !== undefined && !hasUnnumberedEvents);
