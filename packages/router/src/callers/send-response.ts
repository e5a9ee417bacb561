import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {errorTable, getErrorBody, type RequestFailure} from '@gentianlift/errors';
import type {RequestId, RunState} from '@gentianlift/types';

/** Header fields that every answer carries. */
export const getAccountHeaders = (request: RequestId, ran: RunState): Record<string, string> => ({
	'x-request-id': request,
	'x-ran': ran,
});

/** Answers with a JSON body. */
export const sendJson = (response: ServerResponse, status: number, body: unknown, headers: Record<string, string> = {}): void => {
	const text = JSON.stringify(body);
	response.writeHead(status, {'content-type': 'application/json', 'content-length': String(Buffer.byteLength(text)), ...headers});
	response.end(text);
};

const millisecondsPerSecond = 1000;

const getRetryHeaders = (failure: RequestFailure): Record<string, string> => {
	const {retry} = errorTable[failure.kind];
	const headers: Record<string, string> = {'x-error-kind': failure.kind, 'x-retry': retry};
	if (failure.retryAfter !== undefined) {
		headers['retry-after'] = String(Math.ceil(failure.retryAfter / millisecondsPerSecond));
	}

	return headers;
};

/**
Tells the caller of a failure.

Before the answer began this is a whole error answer; after that a last `error` event without the terminal event, or an abrupt end where the body isn't an event stream.
*/
export const sendFailure = (response: ServerResponse, failure: RequestFailure, request: RequestId): void => {
	const body = getErrorBody(failure, request);
	if (!response.headersSent) {
		sendJson(response, errorTable[failure.kind].status, body, {
			...getAccountHeaders(request, failure.ran),
			...getRetryHeaders(failure),
		});
		return;
	}

	if (response.getHeader('content-type') === 'text/event-stream') {
		response.end(`data: ${JSON.stringify(body)}\n\n`);
		return;
	}

	response.destroy();
};
