import type {AnswerHead} from '../protocol.js';
import type {SendOutcome} from '../send/send.js';

/** A request that was answered. */
export type AnsweredOutcome = Extract<SendOutcome, {kind: 'answered'}>;

/** A complete answer of an upstream that hasn't been written to the caller yet. */
export type BufferedAnswer = {head: AnswerHead; bytes: Uint8Array};

/**
 * Outcome of sending a request to one upstream and delivering its answer. The kinds differ in whether the request may
 * have executed and whether another upstream may still answer it.
 */
export type ForwardOutcome
	/** The answer was delivered to the caller. */
	= | {kind: 'delivered'; status: number}
	/** No connection of this host's pool was free for the request, so nothing was sent; this says nothing about the upstream. */
		| {kind: 'unsent'; reason: string}
	/** No connection was established. */
		| {kind: 'unreachable'; reason: string}
	/** The upstream states that it has not executed the request. */
		| {kind: 'rejected'; reason: string}
	/** The request may have executed; another upstream can still answer it or continue its stream, if the request may execute again. `buffered` is the upstream's own error answer. */
		| {kind: 'failed'; reason: string; buffered?: BufferedAnswer}
	/** The request may have executed, and no other upstream may answer it: part of the answer was delivered and can't be continued, or an event is missing. */
		| {kind: 'spoiled'; reason: string};
