import {Buffer} from 'node:buffer';
import type {OutgoingHttpHeaders} from 'node:http';
import type {ServiceCall} from '@gentianlift/upstream';
import type {ResponseWriter} from '../callers/caller-stream.js';
import type {HostContext} from '../host-context.js';
import {getFailedAttempt, type FailedAttempt} from './failed-attempt.js';

/** Where a service's answer goes. */
export type ResponseReceiver = ResponseWriter & {
	begin: (status: number, headers: OutgoingHttpHeaders) => void;
};

/** How one attempt of a call ended. */
export type CallAttemptEnd
	= | {kind: 'finished'; status: number; contentType: string | undefined; body: string | undefined}
	/** The answer had begun; what has reached the caller can't be taken back. */
		| {kind: 'cut'; lost: FailedAttempt}
		| FailedAttempt;

/** Longest body of an answer that is kept for resends, in bytes. */
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
Makes a call to one upstream and hands its answer to the reader. Never throws.

With `outlivesReader` the answer is read to its end even if the reader has gone.
*/
export const runCallAttempt = async (context: HostContext, call: ServiceCall, receiver: ResponseReceiver, readsToEnd: boolean): Promise<CallAttemptEnd> => {
	const response = await context.upstreams.callService(call);
	if (response.kind !== 'answered') {
		return getFailedAttempt(response);
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
		return {kind: 'cut', lost: {...getFailedAttempt(outcome), ran: 'ran', error: 'answer-incomplete'}};
	}

	const contentType = response.headers['content-type'];
	return {
		kind: 'finished', status: response.status, contentType: typeof contentType === 'string' ? contentType : undefined, body: bodyBuffer.getBody(),
	};
};
