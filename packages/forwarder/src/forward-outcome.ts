import type {AnswerHead} from './protocol.js';

/** A complete answer of an upstream that hasn't been written to the caller yet. */
export type BufferedAnswer = {head: AnswerHead; bytes: Uint8Array};

/**
 * Outcome of sending a request to one upstream and delivering its answer. The kinds differ in whether the request may
 * have executed and whether another upstream may still answer it.
 */
export type ForwardOutcome
	/** The answer was delivered to the caller. */
	= | {kind: 'delivered'; status: number}
	/** No connection was established. */
		| {kind: 'unreachable'; reason: string}
	/** The upstream states that it has not executed the request. */
		| {kind: 'rejected'; reason: string}
	/** The request may have executed, and the answer can still come from another upstream, where the request may execute again; `buffered` is the upstream's own error answer. */
		| {kind: 'failed'; reason: string; buffered?: BufferedAnswer}
	/** Part of the answer was delivered, and no other upstream can continue it. */
		| {kind: 'spoiled'; reason: string};
