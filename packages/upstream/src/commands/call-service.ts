import type {OutgoingHttpHeaders} from 'node:http';
import type {SilenceTimeouts} from '@gentianlift/types';
import type {CallFailure} from '../call-failure.js';
import {waitForBodyEnd} from '../wire/body-end.js';
import {createResponseStream} from '../wire/response-stream.js';
import type {StreamChunk, ChunkStream} from '../wire/chunk-stream.js';
import {
	exchange, type UpstreamRequest, type UpstreamResponse, type ExchangeContext, type ExchangeFailure,
} from '../wire/exchange.js';
import {getEndToEndHeaders} from '../wire/headers.js';
import {isRefusal, readError} from '../wire/error-response.js';

/** How the body of a service's response ended. */
export type ServiceOutcome = {kind: 'finished'} | ExchangeFailure;

/** A service's response, of any status, whose body is still being received. */
export type ServiceResponse = {
	kind: 'answered';
	status: number;
	/** End-to-end headers; hop-by-hop headers are removed. */
	headers: OutgoingHttpHeaders;
	/** The body in pieces. Ends when `outcome` is known, and never throws. */
	chunks: AsyncIterable<StreamChunk>;
	outcome: Promise<ServiceOutcome>;
};

const streamBody = async (response: UpstreamResponse, stream: ChunkStream): Promise<ServiceOutcome> => {
	const {message, silenceTimer} = response;
	message.on('data', (piece: Uint8Array) => {
		silenceTimer.recordActivity();
		stream.push(piece, 0);
	});
	const failure = await waitForBodyEnd(response, 'mid-answer');
	response.release();
	stream.end();
	return failure ?? {kind: 'finished'};
};

/** Calls a service. Resolves when the head of the response arrives, or with the reason why there is none. Never retries and never throws. */
export const callService = async (context: ExchangeContext, limits: SilenceTimeouts, call: UpstreamRequest): Promise<ServiceResponse | CallFailure> => {
	const response = await exchange(context, call, limits.service);
	if (response.kind !== 'answered') {
		return response;
	}

	const {message} = response;
	if (isRefusal(message)) {
		return readError(response);
	}

	const stream = createResponseStream(response);
	const outcome = streamBody(response, stream);
	return {
		kind: 'answered', status: message.statusCode ?? 0, headers: getEndToEndHeaders(message.headers), chunks: stream.chunks, outcome,
	};
};
