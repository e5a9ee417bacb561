import type {Milliseconds} from '@gentianlift/types';

/** Time after which the weight of a result has halved. */
const halfLife: Milliseconds = 3000;

/** Successes that are assumed in addition to the recorded results, so that a single failure doesn't dominate the ratio. */
const assumedSuccesses = 4;

/** Counts of an upstream's failures and results with exponential decay, as of `updatedAt`. */
export type FailureCounts = {failures: number; results: number; updatedAt: Milliseconds};

/** Creates counts without results. */
export const createFailureCounts = (now: Milliseconds): FailureCounts => ({failures: 0, results: 0, updatedAt: now});

const getDecayFactor = ({updatedAt}: FailureCounts, now: Milliseconds): number => 0.5 ** (Math.max(0, now - updatedAt) / halfLife);

/** Adds a result to the decayed counts. */
export const addResult = (counts: FailureCounts, hasFailed: boolean, now: Milliseconds): FailureCounts => {
	const decayFactor = getDecayFactor(counts, now);
	return {failures: (counts.failures * decayFactor) + (hasFailed ? 1 : 0), results: (counts.results * decayFactor) + 1, updatedAt: now};
};

/** Returns the fraction of failures among the results and the assumed successes, from 0 to 1. */
export const getFailureRatio = (counts: FailureCounts, now: Milliseconds): number => {
	// Most upstreams have no failures, and each decision asks for the ratios of all.
	if (counts.failures === 0) {
		return 0;
	}

	const decayFactor = getDecayFactor(counts, now);
	return counts.failures * decayFactor / ((counts.results * decayFactor) + assumedSuccesses);
};
