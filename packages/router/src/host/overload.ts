import type {Cancel, Clock} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {Milliseconds, Rank} from '@gentianlift/types';
import {createEventLoopGauge} from '../event-loop.js';

/** Watches how busy the process itself is, so that it sheds by tier before it falls over. */
export type Overload = {
	/** Lowest rank that is still taken; undefined for all. */
	getRankLimit: () => Rank | undefined;
	getLag: () => Milliseconds;
	/** How full the host is, from 0 to 1. */
	getLoad: () => number;
	stop: Cancel;
};

/** What the watch takes; `getTiers` gives the number of tiers, `getConnections` the share of the callers' connections in use. */
export type OverloadOptions = {
	clock: Clock;
	metrics: Metrics;
	getTiers: () => number;
	getConnections: () => number;
	getHeapBytes: () => number;
};

const interval: Milliseconds = 250;
/** Lag at which the lowest tier is refused; each multiple refuses one more. */
const lagStep: Milliseconds = 100;
const heapLimitBytes = 1024 * 1024 * 1024;
const fullHeapShare = 0.9;
/** Part of the last lag that stays in the average. */
const smoothing = 0.5;

/** Gets the lowest rank that is taken at a lag; the highest tier is taken always. */
export const getRankLimitAt = (lag: Milliseconds, heapShare: number, tiers: number): Rank | undefined => {
	const steps = Math.floor(lag / lagStep) + (heapShare > fullHeapShare ? 1 : 0);
	return steps === 0 ? undefined : Math.max(0, tiers - 1 - steps);
};

/** Starts the watch. */
export const startOverload = ({clock, metrics, getTiers, getConnections, getHeapBytes}: OverloadOptions): Overload => {
	const {every} = clock;
	const gauge = createEventLoopGauge();
	let lag: Milliseconds = 0;
	let heapBytes = getHeapBytes();
	const cancel = every(interval, () => {
		lag = (lag * smoothing) + (gauge.readLag() * (1 - smoothing));
		metrics.setGauge('event_loop_lag_milliseconds', lag);
		heapBytes = getHeapBytes();
		metrics.setGauge('heap_bytes', heapBytes);
	});
	const getHeapShare = (): number => heapBytes / heapLimitBytes;
	return {
		getRankLimit: () => getRankLimitAt(lag, getHeapShare(), getTiers()),
		getLag: () => lag,
		getLoad: () => Math.min(1, Math.max(lag / (2 * lagStep), getConnections(), getHeapShare())),
		stop() {
			cancel();
			gauge.stop();
		},
	};
};
