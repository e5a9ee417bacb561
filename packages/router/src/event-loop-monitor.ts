import {monitorEventLoopDelay} from 'node:perf_hooks';
import type {Milliseconds} from '@gentianlift/types';

/** Measures the lag of the event loop. */
export type EventLoopMonitor = {
	/** Returns the mean lag since the last call. */
	readLag: () => Milliseconds;
	stop: () => void;
};

/** Sampling interval of the histogram, which is included in its values. */
const resolution: Milliseconds = 10;
const nanosecondsPerMillisecond = 1_000_000;

/** Starts to measure the lag of the event loop. */
export const createEventLoopMonitor = (): EventLoopMonitor => {
	const histogram = monitorEventLoopDelay({resolution});
	histogram.enable();
	return {
		readLag() {
			const meanLag = Number.isNaN(histogram.mean) ? 0 : (histogram.mean / nanosecondsPerMillisecond) - resolution;
			histogram.reset();
			return Math.max(0, meanLag);
		},
		stop() {
			histogram.disable();
		},
	};
};
