import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {
	cutResponse, errorTable, getErrorBody, type RequestFailure,
} from '@gentianlift/errors';
import type {RequestId, RunState} from '@gentianlift/types';

/** Returns the headers that every response to a request carries. */
export const getAccountHeaders = (request: RequestId, ran: RunState): Record<string, string> => ({
	'x-request-id': request,
	'x-ran': ran,
});

/** Sends a response with a JSON body. */
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
Reports a failure to the caller.

Before the response has begun, this is a complete error response. After that, it is a last event with the error and without the terminal event or, if the body isn't an event stream, a closed connection; nothing, if the response has been written to its end.
*/
export const sendFailure = (response: ServerResponse, failure: RequestFailure, request: RequestId): void => {
	if (response.writableEnded) {
		return;
	}

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

	cutResponse(response);
};
