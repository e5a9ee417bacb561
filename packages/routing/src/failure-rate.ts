import type {Milliseconds} from '@gentianlift/types';

/** Time after which the weight of a result has halved. */
const halfLife: Milliseconds = 3000;

/** Successes that are assumed in addition to the recorded results, so that a single failure doesn't dominate the ratio. */
const priorResults = 4;

/** Counts of an upstream's failures and results with exponential decay, as of `updatedAt`. */
export type FailureRate = {failures: number; results: number; updatedAt: Milliseconds};

/** Creates counts without results. */
export const createFailureRate = (now: Milliseconds): FailureRate => ({failures: 0, results: 0, updatedAt: now});

const decay = (rate: FailureRate, now: Milliseconds): FailureRate => {
	const decayFactor = 0.5 ** (Math.max(0, now - rate.updatedAt) / halfLife);
	return {failures: rate.failures * decayFactor, results: rate.results * decayFactor, updatedAt: now};
};

/** Adds a result to the decayed counts. */
export const addResult = (rate: FailureRate, hasFailed: boolean, now: Milliseconds): FailureRate => {
	const decayed = decay(rate, now);
	return {...decayed, failures: decayed.failures + (hasFailed ? 1 : 0), results: decayed.results + 1};
};

/** Returns the fraction of failures among the results, from 0 to 1. */
export const getFailureRatio = (rate: FailureRate, now: Milliseconds): number => {
	const {failures, results} = decay(rate, now);
	return failures / (results + priorResults);
};
