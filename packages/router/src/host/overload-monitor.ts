import type {Cancel, Clock} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {Milliseconds, Rank} from '@gentianlift/types';
import {createEventLoopMonitor} from '../event-loop-monitor.js';

/** Monitors the load of the process, so that it sheds requests by tier before it is overloaded. */
export type OverloadMonitor = {
	/** Returns the rank of the lowest tier that is still admitted; undefined if all are. */
	getRankLimit: () => Rank | undefined;
	/** Returns the smoothed event loop lag. */
	getLag: () => Milliseconds;
	/** Returns the load of the host, from 0 to 1. */
	getLoad: () => number;
	stop: Cancel;
};

/** Options of the overload monitor; `getConnectionRatio` returns the fraction of the callers' connections in use. */
export type OverloadMonitorOptions = {
	clock: Clock;
	metrics: Metrics;
	getTierCount: () => number;
	getConnectionRatio: () => number;
	getHeapBytes: () => number;
};

const sampleInterval: Milliseconds = 250;
/** Event loop lag at which the lowest tier is shed; each further multiple sheds one more tier. */
const lagPerTier: Milliseconds = 100;
const heapLimitBytes = 1024 * 1024 * 1024;
/** Fraction of the heap limit above which one more tier is shed. */
const maxHeapRatio = 0.9;
/** Weight of the previous lag in the exponential moving average. */
const previousLagWeight = 0.5;

/** Returns the rank of the lowest tier that is admitted at a given lag and heap ratio; undefined if all are. The highest tier is always admitted. */
export const getRankLimitAt = (lag: Milliseconds, heapRatio: number, tierCount: number): Rank | undefined => {
	const shedTiers = Math.floor(lag / lagPerTier) + (heapRatio > maxHeapRatio ? 1 : 0);
	return shedTiers === 0 ? undefined : Math.max(0, tierCount - 1 - shedTiers);
};

/** Starts to sample the event loop lag and the memory use. */
export const startOverloadMonitor = ({clock, metrics, getTierCount, getConnectionRatio, getHeapBytes}: OverloadMonitorOptions): OverloadMonitor => {
	const {every} = clock;
	const eventLoopMonitor = createEventLoopMonitor();
	let lag: Milliseconds = 0;
	let heapBytes = getHeapBytes();
	const cancel = every(sampleInterval, () => {
		lag = (lag * previousLagWeight) + (eventLoopMonitor.readLag() * (1 - previousLagWeight));
		metrics.setGauge('event_loop_lag_milliseconds', lag);
		heapBytes = getHeapBytes();
		metrics.setGauge('heap_bytes', heapBytes);
	});
	const getHeapRatio = (): number => heapBytes / heapLimitBytes;
	return {
		getRankLimit: () => getRankLimitAt(lag, getHeapRatio(), getTierCount()),
		getLag: () => lag,
		getLoad: () => Math.min(1, Math.max(lag / (2 * lagPerTier), getConnectionRatio(), getHeapRatio())),
		stop() {
			cancel();
			eventLoopMonitor.stop();
		},
	};
};
