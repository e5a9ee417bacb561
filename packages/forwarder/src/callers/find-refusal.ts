import type {ErrorKind} from '@gentianlift/errors';
import type {RequestLimits} from '@gentianlift/routing';
import type {Body} from '../deliver/read-body.js';
import type {Admission} from './admission.js';
import {retryAfterDelays, type ErrorAnswer} from './error-answer.js';

/** A request that was received or refused, and what decides whether it is forwarded. */
export type Reception = {
	body: Body;
	admission: Admission;
	/** Limits of the configuration; undefined without one. */
	limits: RequestLimits | undefined;
	/** Whether the host has as many requests as it may have. */
	isFull: boolean;
};

/** Returns the answer for an error kind, with the delay after which a retry is useful. */
const createErrorAnswer = (kind: ErrorKind): ErrorAnswer => {
	const retryAfter = retryAfterDelays[kind];
	return {kind, ...(retryAfter !== undefined && {retryAfter})};
};

/** Returns the error of a request that isn't admitted, exceeds a limit or has no room, else undefined. Without a configuration, a body that is too large may be sent again. */
export const findRefusal = ({
	body, admission, limits, isFull,
}: Reception): ErrorAnswer | undefined => {
	if (body.kind === 'too-large') {
		return createErrorAnswer(limits === undefined ? 'not-configured' : 'body-too-large');
	}

	if (body.kind === 'released' || isFull) {
		return createErrorAnswer('host-overloaded');
	}

	return admission.kind === 'admitted' ? undefined : createErrorAnswer(admission.error);
};
