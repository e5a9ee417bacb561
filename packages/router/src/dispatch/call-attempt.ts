import {Buffer} from 'node:buffer';
import type {OutgoingHttpHeaders} from 'node:http';
import type {ServiceCall} from '@gentianlift/upstream';
import type {AnswerWriter} from '../callers/caller-stream.js';
import type {HostParts} from '../parts.js';
import {getLostAttempt, type LostAttempt} from './attempt-end.js';

/** Where a service's answer goes. */
export type AnswerReader = AnswerWriter & {
	begin: (status: number, headers: OutgoingHttpHeaders) => void;
};

/** How one attempt of a call ended. */
export type CallEnd
	= | {kind: 'finished'; status: number; contentType: string | undefined; body: string | undefined}
	/** The answer had begun; what has reached the caller can't be taken back. */
		| {kind: 'cut'; lost: LostAttempt}
		| LostAttempt;

/** Longest body of an answer that is kept for resends, in bytes. */
export const longestKeptBody = 4096;

const createKeeper = () => {
	const pieces: Uint8Array[] = [];
	let size = 0;
	return {
		add(bytes: Uint8Array): void {
			size += bytes.length;
			if (size <= longestKeptBody) {
				pieces.push(bytes);
			}
		},
		getBody: (): string | undefined => size <= longestKeptBody ? Buffer.concat(pieces).toString('utf8') : undefined,
	};
};

/**
Makes a call to one upstream and hands its answer to the reader. Never throws.

With `outlivesReader` the answer is read to its end even if the reader has gone.
*/
export const runCallAttempt = async (parts: HostParts, call: ServiceCall, reader: AnswerReader, outlivesReader: boolean): Promise<CallEnd> => {
	const answer = await parts.upstreams.callService(call);
	if (answer.kind !== 'answered') {
		return getLostAttempt(answer);
	}

	reader.begin(answer.status, answer.headers);
	const keeper = createKeeper();
	for await (const {bytes} of answer.chunks) {
		keeper.add(bytes);
		if (!reader.write(bytes) && !(await reader.drained()) && !outlivesReader) {
			break;
		}
	}

	const outcome = await answer.outcome;
	if (outcome.kind !== 'finished') {
		return {kind: 'cut', lost: {...getLostAttempt(outcome), ran: 'ran', error: 'answer-incomplete'}};
	}

	const contentType = answer.headers['content-type'];
	return {
		kind: 'finished', status: answer.status, contentType: typeof contentType === 'string' ? contentType : undefined, body: keeper.getBody(),
	};
};
