import type {Milliseconds, RunState} from '@gentianlift/types';

/** Attempts of one request, the first included. */
export const mostAttempts = 4;

const firstBackoff: Milliseconds = 50;
const longestBackoff: Milliseconds = 2000;

/** How the last attempt of a request ended, and what is left. */
export type FailedAttempt = {
	/** Whether the upstream ran the request, as far as is proven. */
	ran: RunState;
	idempotent: boolean;
	/** Attempts made, the last included. */
	attempts: number;
	/** Time up to the deadline. */
	slack: Milliseconds;
	/** Least time that another attempt takes. */
	expectedDuration: Milliseconds;
	/** Part of the answer that has reached the caller can be continued, or none has reached it. */
	resumable: boolean;
	/** Whether the class's retry budget has one left. */
	withinBudget: boolean;
};

/** Whether to try again, counted by `reason`. */
export type RetryDecision
	= | {kind: 'retry'; delay: Milliseconds; reason: 'not-run' | 'idempotent' | 'resume'}
		| {kind: 'stop'; reason: 'may-have-run' | 'attempts' | 'deadline' | 'budget' | 'not-resumable'};

/** Decides on another attempt. `chance` is a seeded number from 0 to 1 that spreads retries. */
export const decideRetry = (attempt: FailedAttempt, chance: number): RetryDecision => {
	if (attempt.ran !== 'not-run' && !attempt.idempotent) {
		return {kind: 'stop', reason: 'may-have-run'};
	}

	if (!attempt.resumable) {
		return {kind: 'stop', reason: 'not-resumable'};
	}

	if (attempt.attempts >= mostAttempts) {
		return {kind: 'stop', reason: 'attempts'};
	}

	const delay = getBackoff(attempt.attempts, chance);
	if (delay + attempt.expectedDuration > attempt.slack) {
		return {kind: 'stop', reason: 'deadline'};
	}

	if (!attempt.withinBudget) {
		return {kind: 'stop', reason: 'budget'};
	}

	return {kind: 'retry', delay, reason: attempt.ran === 'not-run' ? 'not-run' : 'idempotent'};
};

/** Gets the delay before the attempt that follows `attempts` others: between half of and the whole exponential step. */
export const getBackoff = (attempts: number, chance: number): Milliseconds => {
	const step = Math.min(longestBackoff, firstBackoff * (2 ** Math.max(0, attempts - 1)));
	return (step / 2) + (chance * step / 2);
};
