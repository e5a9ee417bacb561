import type {Milliseconds} from '@gentianlift/types';

/**
 * Whether an incarnation of an upstream may have started again unnoticed, by times on the monotonic clock: from a sign
 * that it is lost until its new entry must have arrived, which may follow some time after its first answer to a request
 * that was sent since.
 */
export type RestartDoubt
	= | {kind: 'none'}
		| {kind: 'lost'; since: Milliseconds}
		| {kind: 'answering'; until: Milliseconds};

/** Longest time after the first sign of life of an upstream that has started again in which its entry may still be that of before. */
export const maxEntryDelay: Milliseconds = 2000;

/** No sign that the upstream was lost. */
export const noDoubt: RestartDoubt = {kind: 'none'};

/** Whether the upstream may have another software version than its entry says. */
export const isDoubted = (doubt: RestartDoubt, now: Milliseconds): boolean =>
	doubt.kind === 'lost' || (doubt.kind === 'answering' && now < doubt.until);

/** Returns the doubt after bytes of the upstream's answer to a request that began at `startedAt` have arrived. */
export const updateDoubt = (doubt: RestartDoubt, startedAt: Milliseconds, now: Milliseconds): RestartDoubt =>
	doubt.kind === 'lost' && startedAt >= doubt.since ? {kind: 'answering', until: now + maxEntryDelay} : doubt;
