import type {RequestId, RunState} from '@gentianlift/types';
import {errorTable, type ErrorKind, type RetryAdvice} from './kinds.js';
import type {RequestFailure} from './request-error.js';

/** JSON body of an error answer, in the form that OpenAI-style clients read. */
export type ErrorBody = {
	error: {
		type: string;
		code: ErrorKind;
		message: string;
		request_id: RequestId;
		ran: RunState;
		retry: RetryAdvice;
		/** Seconds after which a retry is of use. */
		retry_after?: number;
	};
};

const millisecondsPerSecond = 1000;

/** Gets the body that tells a caller of a failure. */
export const getErrorBody = (failure: RequestFailure, request: RequestId): ErrorBody => {
	const {type, retry} = errorTable[failure.kind];
	const body: ErrorBody = {
		error: {
			type,
			code: failure.kind,
			message: failure.message,

			request_id: request,
			ran: failure.ran,
			retry,
		},
	};
	if (failure.retryAfter !== undefined) {
		body.error.retry_after = Math.ceil(failure.retryAfter / millisecondsPerSecond);
	}

	return body;
};
