import {Buffer} from 'node:buffer';
import type {OutgoingHttpHeaders} from 'node:http';
import type {UpstreamRequest} from '@gentianlift/upstream';
import type {ResponseWriter} from '../callers/caller-stream.js';
import type {HostContext} from '../host-context.js';
import {describeCallFailure, type AttemptFailure} from './attempt-failure.js';

/** Receiver of a service's response: its head, then its body. */
export type ResponseReceiver = ResponseWriter & {
	begin: (status: number, headers: OutgoingHttpHeaders) => void;
};

/** Outcome of one attempt of a call. */
export type CallAttemptEnd
	= | {kind: 'finished'; status: number; contentType: string | undefined; body: string | undefined}
	/** The attempt failed after the response had begun. It isn't retried, because the caller has already received a part of the response. */
		| {kind: 'cut'; failure: AttemptFailure}
		| AttemptFailure;

/** Largest response body that is stored for replay to a repeated request, in bytes. */
export const maxStoredBodyBytes = 4096;

const createBodyBuffer = () => {
	const chunks: Uint8Array[] = [];
	let size = 0;
	return {
		add(bytes: Uint8Array): void {
			size += bytes.length;
			if (size <= maxStoredBodyBytes) {
				chunks.push(bytes);
			}
		},
		getBody: (): string | undefined => size <= maxStoredBodyBytes ? Buffer.concat(chunks).toString('utf8') : undefined,
	};
};

/**
Calls one upstream and streams its response to the receiver. Never throws.

With `readsToEnd` the response is read to its end even if the receiver no longer accepts data.
*/
export const runCallAttempt = async (context: HostContext, call: UpstreamRequest, receiver: ResponseReceiver, readsToEnd: boolean): Promise<CallAttemptEnd> => {
	const response = await context.upstreams.callService(call);
	if (response.kind !== 'answered') {
		return describeCallFailure(response);
	}

	receiver.begin(response.status, response.headers);
	const bodyBuffer = createBodyBuffer();
	for await (const {bytes} of response.chunks) {
		bodyBuffer.add(bytes);
		if (!receiver.write(bytes) && !(await receiver.waitUntilWritable()) && !readsToEnd) {
			break;
		}
	}

	const outcome = await response.outcome;
	if (outcome.kind !== 'finished') {
		return {kind: 'cut', failure: {...describeCallFailure(outcome), ran: 'ran', error: 'answer-incomplete'}};
	}

	const contentType = response.headers['content-type'];
	return {
		kind: 'finished', status: response.status, contentType: typeof contentType === 'string' ? contentType : undefined, body: bodyBuffer.getBody(),
	};
};
