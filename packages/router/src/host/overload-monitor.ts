import type {Cancel, Clock} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {Milliseconds, Rank} from '@gentianlift/types';
import {createEventLoopMonitor} from '../event-loop-monitor.js';

/** Watches how busy the process itself is, so that it sheds by tier before it falls over. */
export type OverloadMonitor = {
	/** Lowest rank that is still taken; undefined for all. */
	getRankLimit: () => Rank | undefined;
	getLag: () => Milliseconds;
	/** How full the host is, from 0 to 1. */
	getLoad: () => number;
	stop: Cancel;
};

/** What the watch takes; `getTiers` gives the number of tiers, `getConnections` the share of the callers' connections in use. */
export type OverloadMonitorOptions = {
	clock: Clock;
	metrics: Metrics;
	getTierCount: () => number;
	getConnectionRatio: () => number;
	getHeapBytes: () => number;
};

const sampleInterval: Milliseconds = 250;
/** Lag at which the lowest tier is refused; each multiple refuses one more. */
const lagPerTier: Milliseconds = 100;
const heapLimitBytes = 1024 * 1024 * 1024;
const maxHeapRatio = 0.9;
/** Part of the last lag that stays in the average. */
const previousLagWeight = 0.5;

/** Gets the lowest rank that is taken at a lag; the highest tier is taken always. */
export const getRankLimitAt = (lag: Milliseconds, heapRatio: number, tierCount: number): Rank | undefined => {
	const shedTiers = Math.floor(lag / lagPerTier) + (heapRatio > maxHeapRatio ? 1 : 0);
	return shedTiers === 0 ? undefined : Math.max(0, tierCount - 1 - shedTiers);
};

/** Starts the watch. */
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
