import type {Milliseconds} from '@gentianlift/types';
import type {Clock} from './clock.js';

/** Difference between the two clocks that is taken for their different resolutions and rates. */
const tolerance: Milliseconds = 10;

/**
Creates a function that returns a time which never runs behind the real one while it is read regularly.

The monotonic clock of some systems omits the time for which the machine was suspended; the system time includes it. Each forward step of the system time against the monotonic clock counts as a suspension, so the time may run ahead after an adjustment of the system time.
*/
export const createElapsedTime = ({now, monotonic}: Pick<Clock, 'now' | 'monotonic'>): (() => Milliseconds) => {
	let offset = now() - monotonic();
	let suspended: Milliseconds = 0;
	return () => {
		const time = monotonic();
		const step = now() - time - offset;
		if (Math.abs(step) > tolerance) {
			offset += step;
			suspended += Math.max(0, step);
		}

		return time + suspended;
	};
};
