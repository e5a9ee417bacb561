import type {LoadReport, Milliseconds} from '@gentianlift/types';

/** Weight of the newest sample in a moving mean. */
const newestWeight = 0.1;

/** Deviations above the mean that a cautious estimate adds. */
const cautiousDeviations = 1.5;

/** A moving mean with its mean deviation. */
export type Estimate = {mean: number; deviation: number; samples: number};

/** Creates an estimate that starts from an assumption. */
export const createEstimate = (mean: number): Estimate => ({mean, deviation: mean / 4, samples: 0});

/** Applies a sample; the first ones count for more than the assumption. */
export const applySample = (estimate: Estimate, value: number): Estimate => {
	const samples = estimate.samples + 1;
	const weight = Math.max(newestWeight, 1 / (samples + 1));
	const error = value - estimate.mean;
	return {
		mean: estimate.mean + (weight * error),
		deviation: estimate.deviation + (weight * (Math.abs(error) - estimate.deviation)),
		samples,
	};
};

/** Gets a value that most samples stay under. */
export const getCautious = (estimate: Estimate): number => estimate.mean + (cautiousDeviations * estimate.deviation);

/** Speed of an engine. */
export type Speed = {
	/** Milliseconds for each prompt token. */
	prefill: number;
	/** Milliseconds for each output token. */
	decode: number;
};

/** Gets the time that a request takes at an engine. */
export const getServiceTime = (speed: Speed, promptTokens: number, outputTokens: number): Milliseconds =>
	(speed.prefill * promptTokens) + (speed.decode * outputTokens);

/** Queue before a request. */
export type Queue = {
	/** Service time of the waiting requests ahead, in slot-milliseconds. */
	ahead: Milliseconds;
	/** Time till the first slot comes free; 0 when one is free. */
	nextFree: Milliseconds;
	slots: number;
	/** Part of the slots that the request's tier can count on, above 0 and up to 1. */
	share: number;
};

/** Gets the expected wait for a slot. */
export const getWait = ({ahead, nextFree, slots, share}: Queue): Milliseconds =>
	nextFree + (ahead / Math.max(1, slots * share));

/** Gets the load of an upstream: what this owner has there now, and what others had there by the lagging report. */
export const getLoad = (outstanding: number, outstandingAtReport: number, report: LoadReport | undefined): number => {
	const reported = report === undefined ? 0 : report.running + report.waiting;
	return outstanding + Math.max(0, reported - outstandingAtReport);
};

/** What moving a prefix between engines takes. */
export type CacheTransfer = {
	prefixTokens: number;
	bytesPerToken: number;
	/** Rate between the engines, in bytes a millisecond. */
	bytesPerMillisecond: number;
	/** Fixed time of export and import. */
	overhead: Milliseconds;
	/** Milliseconds to compute a prompt token anew. */
	prefill: number;
};

/** Whether exporting and importing the KV cache of a prefix beats computing it anew. */
export const isTransferFaster = (transfer: CacheTransfer): boolean => {
	const moved = transfer.overhead + (transfer.prefixTokens * transfer.bytesPerToken / transfer.bytesPerMillisecond);
	return moved < transfer.prefixTokens * transfer.prefill;
};
