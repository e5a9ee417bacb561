import type {Milliseconds} from '@gentianlift/types';

/** Estimate of an upstream's prefill rate from the observed times to the first token. */
export type PrefillRateEstimate = {
	/** Records that the first token came after `duration`, with `tokens` prompt tokens to prefill before it. */
	addSample: (tokens: number, duration: Milliseconds) => void;
	/** Returns the estimated rate in tokens per millisecond. */
	get: () => number;
};

/** Rate that is assumed before the first sample, in tokens per millisecond. */
export const defaultPrefillRate = 40;
/** Minimum tokens of a sample; with fewer, the time to generate the first token itself distorts the rate. */
const minSampleTokens = 4000;
/** Weight of the newest sample in the exponential moving average. */
const smoothingFactor = 0.1;
/** Bounds of a sample in tokens per millisecond, which limit the effect of an outlier. */
const rateBounds = {min: 4, max: 400};

/** Creates an estimate without samples. */
export const createPrefillRateEstimate = (): PrefillRateEstimate => {
	let rate = defaultPrefillRate;
	return {
		addSample(tokens, duration) {
			if (tokens < minSampleTokens || duration <= 0) {
				return;
			}

			const sample = Math.min(rateBounds.max, Math.max(rateBounds.min, tokens / duration));
			rate = (rate * (1 - smoothingFactor)) + (sample * smoothingFactor);
		},
		get: () => rate,
	};
};
