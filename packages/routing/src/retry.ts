import type {Milliseconds} from '@gentianlift/types';

/** How an attempt on an upstream failed, and what limits another one. */
export type FailedAttempt = {
	/** Whether the upstream is known not to have executed the request. */
	isNotExecuted: boolean;
	/** Whether the request may execute again after an upstream may have executed it. */
	mayExecuteAgain: boolean;
	/** Number of upstreams that may have executed the request so far, including this one. */
	possibleExecutions: number;
	/** Maximum number of upstreams that may execute the request. */
	maxUpstreams: number;
	/** Number of attempts so far that reached an upstream. */
	attempts: number;
	/** Whether the upstream has crashed, and nothing speaks for one of the request's parts. */
	mayCrashUpstream: boolean;
	/** Time until the request's timeout. */
	remainingTime: Milliseconds;
};

/**
 * Whether to retry on another upstream; if not, the reason, which is also counted in metrics:
 * - `may-have-run`: the request may have executed and must not execute again
 * - `upstreams`: as many upstreams as allowed may have executed it
 * - `sends`: the limit of attempts is reached
 * - `suspect`: the request may crash another upstream
 * - `deadline`: too little time is left
 */
export type RetryDecision
	= | {kind: 'resend'}
		| {kind: 'stop'; reason: 'may-have-run' | 'upstreams' | 'sends' | 'suspect' | 'deadline'};

/** Maximum number of attempts of one request that reach an upstream, including those that the upstream rejects. */
export const attemptLimit = 4;

/** Remaining time below which a retry isn't worthwhile. */
const minRemainingTime: Milliseconds = 20;

/** Decides whether a failed request may be retried on another upstream. The retry budget is checked separately and last, as checking it takes from it. */
export const decideRetry = (attempt: FailedAttempt): RetryDecision => {
	if (!attempt.isNotExecuted && !attempt.mayExecuteAgain) {
		return {kind: 'stop', reason: 'may-have-run'};
	}

	if (!attempt.isNotExecuted && attempt.possibleExecutions >= attempt.maxUpstreams) {
		return {kind: 'stop', reason: 'upstreams'};
	}

	if (attempt.attempts >= attemptLimit) {
		return {kind: 'stop', reason: 'sends'};
	}

	if (attempt.mayCrashUpstream) {
		return {kind: 'stop', reason: 'suspect'};
	}

	return attempt.remainingTime < minRemainingTime ? {kind: 'stop', reason: 'deadline'} : {kind: 'resend'};
};
