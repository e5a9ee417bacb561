import type {Milliseconds} from '@gentianlift/types';

/** Bounds of the ratio of an upstream's mean duration to the median of all upstreams. */
const relativeLatencyRange = {min: 0.7, max: 6};

/** Returns the median; undefined without values. */
export const getMedian = (values: readonly number[]): number | undefined => {
	const sorted = Float64Array.from(values).toSorted();
	return sorted[Math.floor(sorted.length / 2)];
};

/** Returns the ratio of a mean duration to the median, within bounds; 1 if either is unknown. */
export const getRelativeLatency = (duration: Milliseconds | undefined, median: Milliseconds | undefined): number => {
	if (duration === undefined || median === undefined || median === 0) {
		return 1;
	}

	return Math.min(relativeLatencyRange.max, Math.max(relativeLatencyRange.min, duration / median));
};
