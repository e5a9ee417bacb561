import type {Milliseconds} from '@gentianlift/types';
import type {Cancel, Clock} from './clock.js';

/** Lateness of a timer from which this process counts as suspended. */
const maxLateness: Milliseconds = 20;
/** Time after a suspension in which messages that arrived during it are read. */
const settlingTime: Milliseconds = 100;

/**
Calls `onPassed` once a time limit for a message has passed; returns a function that ends the wait.

Timers that came due while the process was suspended fire before the messages of that time are read, so a limit that is noticed late is extended once.
*/
export const startTimeLimit = ({monotonic, after}: Pick<Clock, 'monotonic' | 'after'>, limit: Milliseconds, onPassed: () => void): Cancel => {
	const dueAt = monotonic() + limit;
	let cancel = after(limit, () => {
		if (monotonic() - dueAt > maxLateness) {
			cancel = after(settlingTime, onPassed);
		} else {
			onPassed();
		}
	});
	return () => {
		cancel();
	};
};
