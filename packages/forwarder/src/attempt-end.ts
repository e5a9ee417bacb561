import type {AnswerHead} from './protocol.js';

/** A whole answer of an upstream that may still go to the caller. */
export type HeldAnswer = {head: AnswerHead; bytes: Uint8Array};

/** How an attempt at one upstream ended. */
export type AttemptEnd
	/** The answer has gone to the caller. */
	= | {kind: 'delivered'; status: number}
	/** No connection was made. */
		| {kind: 'unreachable'; reason: string}
		| {kind: 'rejected'; reason: string}
	/** It may have run; `held` is the upstream's own word of the failure. */
		| {kind: 'failed'; reason: string; held?: HeldAnswer}
	/** Part of the answer has gone to the caller; the rest can't come from another upstream. */
		| {kind: 'spoiled'; reason: string};
