import type {Milliseconds} from '@gentianlift/types';
import type {UpstreamLoad} from './choose-upstream.js';

/** Fraction of the tokens still to prefill that is assumed to remain, however long ago the last progress was observed. */
const minPendingFraction = 0.25;

/**
 * Returns the time until an upstream has prefilled the prompts that were sent to it, at `prefillRate` tokens per
 * millisecond. Upstreams prefill prompts in order of arrival, whatever their priority.
 */
export const getBacklog = ({unreadTokens, progressAt}: UpstreamLoad, prefillRate: number, now: Milliseconds): Milliseconds => {
	const prefilledTokens = Math.max(0, now - progressAt) * prefillRate;
	return Math.max(unreadTokens * minPendingFraction, unreadTokens - prefilledTokens) / prefillRate;
};
