import type {Random} from '@gentianlift/clock';
import type {Milliseconds} from '@gentianlift/types';

/** Decision to refuse a waiting call before its caller leaves, with its inputs. */
export type EarlyRefusal = {
	/** Expected time until the first token. */
	expected: Milliseconds;
	/** Remaining time until the caller leaves. */
	remaining: Milliseconds;
	/** Shortest backlog of an upstream that may run the call. */
	backlog: Milliseconds;
	/** Prompt tokens that the other hosts have queued for these upstreams, of the call's rank or higher ones. */
	otherHostsTokens: number;
	/** Queued prompt tokens of all hosts that are assumed to go before the call. */
	tokensAhead: number;
	/** Delay after which a retry is useful. */
	retryAfter: Milliseconds;
};

/** How long a call has been expected to miss its first token. */
export type MissBalance = {
	/** Time before passes that expected a miss, less the time before others; not below 0. */
	duration: Milliseconds;
	lastPassAt: Milliseconds;
	/** Duration at which the call is refused. */
	requiredDuration: Milliseconds;
};

/**
 * Ratio of the expected time to the remaining time from which a call counts as missed. It covers a prefill rate that is
 * assumed too low on a host without samples.
 */
const missRatio = 1.5;

/** Bounds of the duration for which the prediction has to hold; drawn for each call, so that hosts don't refuse at the same moment. */
const requiredDurationRange = {min: 100, max: 200};
/** Maximum fraction of the remaining time for which the prediction has to hold, so that the answer comes before the caller leaves. */
const maxRequiredFraction = 0.5;
/** Maximum time between two passes that counts, as a process that was suspended knows nothing of the time between. */
const maxPassInterval: Milliseconds = 40;

/** Returns whether the prediction misses the remaining time by a clear margin. */
export const isMissed = (expected: Milliseconds, remaining: Milliseconds): boolean => expected > remaining * missRatio;

/** Returns the balance of a call at its first pass. */
export const startMissBalance = (now: Milliseconds, random: Random): MissBalance => {
	const {min, max} = requiredDurationRange;
	const drawnDuration = min + (random.next() * (max - min));
	return {duration: 0, lastPassAt: now, requiredDuration: drawnDuration};
};

/** Adds a pass to a balance. */
export const updateMissBalance = (balance: MissBalance, hasMissed: boolean, now: Milliseconds): MissBalance => {
	const interval = Math.min(maxPassInterval, now - balance.lastPassAt);
	return {...balance, duration: Math.max(0, balance.duration + (hasMissed ? interval : -interval)), lastPassAt: now};
};

/** Returns whether the prediction has held long enough to refuse the call, with `remaining` time until its caller leaves. */
export const isLastingMiss = ({duration, requiredDuration}: MissBalance, remaining: Milliseconds): boolean =>
	duration >= Math.min(requiredDuration, remaining * maxRequiredFraction);

/** Inputs of the delay after which a refused caller may return. */
export type ReturnInput = {
	/** Expected time until the first token of the refused call. */
	expected: Milliseconds;
	/** Total time that the caller waits for the first token of a new call. */
	patience: Milliseconds;
	/** Remaining time until the caller's deadline for all its attempts. */
	remainingUntilDeadline: Milliseconds;
};

/** Minimum delay, unless the caller has too little time left. */
const minRetryAfter: Milliseconds = 250;
/** Callers return at once if the delay exceeds this fraction of their remaining time. */
const maxRetryFraction = 1 / 3;
/** Expected time to the first token at which a caller should return, as a fraction of the time that it waits. */
const returnFraction = 0.5;
/** Ratio of the earliest delay to the latest one for the same inputs; the difference keeps callers of all hosts from returning together. */
const earliestRatio = 2 / 3;

/** Draws a Retry-After around the time in which the queue shrinks so far that a new call would be served. */
export const drawRetryAfter = ({expected, patience, remainingUntilDeadline}: ReturnInput, random: Random): Milliseconds => {
	const useful = Math.max(minRetryAfter, expected - (patience * returnFraction));
	const latest = Math.min(useful / earliestRatio, Math.max(0, remainingUntilDeadline) * maxRetryFraction);
	const earliest = latest * earliestRatio;
	return Math.floor(earliest + (random.next() * (latest - earliest)));
};
