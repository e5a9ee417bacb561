import type {Milliseconds} from '@gentianlift/types';

/** Time after which an old result counts half. */
const halfLife: Milliseconds = 3000;

/** Results that are assumed before the first, so that a single failure doesn't condemn an upstream. */
const priorResults = 4;

/** Results of an upstream, older ones counting less. */
export type FailureRate = {failures: number; results: number; updatedAt: Milliseconds};

/** Creates a rate without results. */
export const createFailureRate = (now: Milliseconds): FailureRate => ({failures: 0, results: 0, updatedAt: now});

const getAged = (rate: FailureRate, now: Milliseconds): FailureRate => {
	const share = 0.5 ** (Math.max(0, now - rate.updatedAt) / halfLife);
	return {failures: rate.failures * share, results: rate.results * share, updatedAt: now};
};

/** Adds a result. */
export const addResult = (rate: FailureRate, hasFailed: boolean, now: Milliseconds): FailureRate => {
	const aged = getAged(rate, now);
	return {...aged, failures: aged.failures + (hasFailed ? 1 : 0), results: aged.results + 1};
};

/** Gets the share of failures, from 0 to 1. */
export const getFailureShare = (rate: FailureRate, now: Milliseconds): number => {
	const {failures, results} = getAged(rate, now);
	return failures / (results + priorResults);
};
