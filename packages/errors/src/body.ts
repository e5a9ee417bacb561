import type {RequestId, RunState} from '@gentianlift/types';
import {errorTable, type ErrorKind, type RetryAdvice} from './kinds.js';
import type {RequestFailure} from './request-error.js';

/** JSON body of an error response, in the OpenAI-compatible format. */
export type ErrorBody = {
	error: {
		type: string;
		code: ErrorKind;
		message: string;
		request_id: RequestId;
		ran: RunState;
		retry: RetryAdvice;
		/** Seconds after which the caller may retry. */
		retry_after?: number;
	};
};

const millisecondsPerSecond = 1000;

/** Returns the response body that reports a failure to the caller. */
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
