import type {Milliseconds, RunState} from '@gentianlift/types';

/** Maximum number of attempts of one request, including the first. */
export const attemptLimit = 4;

const initialBackoff: Milliseconds = 50;
const maxBackoff: Milliseconds = 2000;

/** How the last attempt of a request ended, and what limits another one. */
export type FailedAttempt = {
	/** Whether the upstream is known to have executed the request, or not to have. */
	ran: RunState;
	idempotent: boolean;
	/** Number of attempts so far, including the last. */
	attempts: number;
	/** Time until the deadline. */
	slack: Milliseconds;
	/** Minimum duration of another attempt. */
	expectedDuration: Milliseconds;
	/** Whether the part of the answer that has reached the caller, if any, can be continued. */
	resumable: boolean;
	/** Whether the retry budget of the request's class allows another attempt. */
	withinBudget: boolean;
};

/** Whether to retry; metrics count decisions by `reason`. */
export type RetryDecision
	= | {kind: 'retry'; delay: Milliseconds; reason: 'not-run' | 'idempotent' | 'resume'}
		| {kind: 'stop'; reason: 'may-have-run' | 'attempts' | 'deadline' | 'budget' | 'not-resumable'};

/** Decides whether to retry. `jitter` is a pseudorandom number from 0 to 1 that spreads retries over time. */
export const decideRetry = (attempt: FailedAttempt, jitter: number): RetryDecision => {
	if (attempt.ran !== 'not-run' && !attempt.idempotent) {
		return {kind: 'stop', reason: 'may-have-run'};
	}

	if (!attempt.resumable) {
		return {kind: 'stop', reason: 'not-resumable'};
	}

	if (attempt.attempts >= attemptLimit) {
		return {kind: 'stop', reason: 'attempts'};
	}

	const delay = getBackoff(attempt.attempts, jitter);
	if (delay + attempt.expectedDuration > attempt.slack) {
		return {kind: 'stop', reason: 'deadline'};
	}

	if (!attempt.withinBudget) {
		return {kind: 'stop', reason: 'budget'};
	}

	return {kind: 'retry', delay, reason: attempt.ran === 'not-run' ? 'not-run' : 'idempotent'};
};

/** Returns the delay before the retry after `attempts` attempts: exponential backoff, of which up to half is taken off by jitter. */
export const getBackoff = (attempts: number, jitter: number): Milliseconds => {
	const backoff = Math.min(maxBackoff, initialBackoff * (2 ** Math.max(0, attempts - 1)));
	return (backoff / 2) + (jitter * backoff / 2);
};
