import {finished} from 'node:stream';
import type {ExchangeFailure, UpstreamResponse} from './exchange.js';

/** The parts of a response that tell of its end. */
type EndingResponse = Pick<UpstreamResponse, 'message' | 'getFailure' | 'findEndFault'>;

/** Resolves at the end of a stream, with its error if it was destroyed before. */
const waitForStreamEnd = async (message: UpstreamResponse['message']): Promise<Error | undefined> => new Promise(resolve => {
	finished(message, error => {
		resolve(error ?? undefined);
	});
});

/**
Resolves at the end of a body, with why it isn't whole; undefined if it is. Node reports no error to the reader of a body without length or chunks whose connection was reset, only to the request. `reason` is that of a connection that closed before the end.
*/
export const waitForBodyEnd = async ({message, getFailure, findEndFault}: EndingResponse, reason: string): Promise<ExchangeFailure | undefined> => {
	const error = await waitForStreamEnd(message);
	const fault = await findEndFault();
	if (fault === 'end-malformed') {
		return {kind: 'reset', reason: fault};
	}

	const failure = getFailure();
	if (failure !== undefined) {
		return failure;
	}

	return error === undefined && fault === undefined ? undefined : {kind: 'reset', reason: fault ?? reason};
};
