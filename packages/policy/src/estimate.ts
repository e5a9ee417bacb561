import type {LoadReport, Milliseconds} from '@gentianlift/types';

/** Minimum weight of the newest sample in the moving average. */
const minSampleWeight = 0.1;

/** Number of mean deviations that an upper estimate adds to the mean. */
const upperDeviations = 1.5;

/** An exponential moving average with its mean deviation. */
export type Estimate = {mean: number; deviation: number; samples: number};

/** Creates an estimate that starts from an assumed mean. */
export const createEstimate = (mean: number): Estimate => ({mean, deviation: mean / 4, samples: 0});

/** Adds a sample; the first samples have a higher weight, so that they soon replace the assumed mean. */
export const addSample = (estimate: Estimate, value: number): Estimate => {
	const samples = estimate.samples + 1;
	const weight = Math.max(minSampleWeight, 1 / (samples + 1));
	const error = value - estimate.mean;
	return {
		mean: estimate.mean + (weight * error),
		deviation: estimate.deviation + (weight * (Math.abs(error) - estimate.deviation)),
		samples,
	};
};

/** Returns an upper estimate, below which most samples lie. */
export const getUpperEstimate = (estimate: Estimate): number => estimate.mean + (upperDeviations * estimate.deviation);

/** Processing times of an engine. */
export type EngineTimings = {
	/** Milliseconds per prompt token. */
	prefill: number;
	/** Milliseconds per output token. */
	decode: number;
};

/** Returns the service time of a request on an engine. */
export const getServiceTime = (timings: EngineTimings, promptTokens: number, outputTokens: number): Milliseconds =>
	(timings.prefill * promptTokens) + (timings.decode * outputTokens);

/** State of the queue ahead of a request. */
export type QueueState = {
	/** Total service time of the queued requests ahead, in slot-milliseconds. */
	ahead: Milliseconds;
	/** Time until the first slot becomes free; 0 if one is free. */
	timeToFreeSlot: Milliseconds;
	slots: number;
	/** Fraction of the slots that is available to the request's tier, above 0 and up to 1. */
	tierSlotFraction: number;
};

/** Returns the expected waiting time for a slot. */
export const getExpectedWait = ({ahead, timeToFreeSlot, slots, tierSlotFraction}: QueueState): Milliseconds =>
	timeToFreeSlot + (ahead / Math.max(1, slots * tierSlotFraction));

/** Returns the load of an upstream: this owner's current requests, and those of others according to the latest report, which lags behind. */
export const getLoad = (outstanding: number, outstandingAtReport: number, report: LoadReport | undefined): number => {
	const reportedRequests = report === undefined ? 0 : report.running + report.waiting;
	return outstanding + Math.max(0, reportedRequests - outstandingAtReport);
};

/** Cost of transferring the KV cache of a prefix between engines, and of recomputing it. */
export type CacheTransfer = {
	prefixTokens: number;
	bytesPerToken: number;
	/** Transfer rate between the engines. */
	bytesPerMillisecond: number;
	/** Fixed time of an export and import. */
	overhead: Milliseconds;
	/** Milliseconds to recompute one prompt token. */
	prefillPerToken: number;
};

/** Returns whether transferring the KV cache of a prefix is faster than recomputing it. */
export const isTransferFaster = (transfer: CacheTransfer): boolean => {
	const transferTime = transfer.overhead + (transfer.prefixTokens * transfer.bytesPerToken / transfer.bytesPerMillisecond);
	return transferTime < transfer.prefixTokens * transfer.prefillPerToken;
};
