import type {Milliseconds} from '@gentianlift/types';

/** Ends a timer; calling it again has no effect. */
export type Cancel = () => void;

/** Source of time for all packages. */
export type Clock = {
	/** Milliseconds since the epoch; may jump. */
	now: () => Milliseconds;
	/** Milliseconds from an arbitrary start; never goes back, and counts pauses of the process. */
	monotonic: () => Milliseconds;
	/** Calls `run` once after `delay`. */
	after: (delay: Milliseconds, run: () => void) => Cancel;
	/** Calls `run` each `interval` until cancelled. */
	every: (interval: Milliseconds, run: () => void) => Cancel;
	/** Resolves after `delay`. */
	sleep: (delay: Milliseconds) => Promise<void>;
};

/** Creates the clock of the machine. Its timers don't keep the process alive, except those of `sleep`. */
export const createSystemClock = (): Clock => ({
	now: () => Date.now(),
	monotonic: () => performance.now(),
	after(delay, run) {
		const timer = setTimeout(run, delay);
		timer.unref();
		return () => {
			clearTimeout(timer);
		};
	},
	every(interval, run) {
		const timer = setInterval(run, interval);
		timer.unref();
		return () => {
			clearInterval(timer);
		};
	},
	sleep: async delay => new Promise(resolve => {
		setTimeout(resolve, delay);
	}),
});
