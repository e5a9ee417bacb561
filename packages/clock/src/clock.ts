import type {Milliseconds} from '@gentianlift/types';

/** Cancels a timer; further calls have no effect. */
export type Cancel = () => void;

/** Source of time and timers; packages take one as a dependency, so that tests can replace it. */
export type Clock = {
	/** Returns the milliseconds since the Unix epoch; jumps when the system time is adjusted. */
	now: () => Milliseconds;
	/** Returns the milliseconds since an arbitrary origin; never decreases, and includes time for which the process was suspended. */
	monotonic: () => Milliseconds;
	/** Calls `run` once after `delay`; returns a function that cancels the timer. */
	after: (delay: Milliseconds, run: () => void) => Cancel;
	/** Calls `run` every `interval` until the returned function is called. */
	every: (interval: Milliseconds, run: () => void) => Cancel;
	/** Resolves after `delay`. */
	sleep: (delay: Milliseconds) => Promise<void>;
};

/** Creates a clock that reads the system time. Only a pending `sleep` keeps the process alive; its other timers are unreferenced. */
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
