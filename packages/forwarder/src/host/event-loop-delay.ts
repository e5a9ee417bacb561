import type {Cancel, Clock} from '@gentianlift/clock';
import type {Logger} from '@gentianlift/logger';
import type {Metrics} from '@gentianlift/metrics';
import type {Milliseconds} from '@gentianlift/types';

/** What the delays of the event loop are measured and reported with. */
export type EventLoopDelayOptions = Pick<Clock, 'monotonic' | 'every'> & {logger: Logger; metrics: Metrics};

const sampleInterval: Milliseconds = 50;
/** Delay from which a line is logged. */
const loggedDelay: Milliseconds = 200;
/** Least time between two of these lines; the later one has the delays between them, too. */
const logInterval: Milliseconds = 1000;

/** Measures how late the event loop runs a timer, as a summary and, for long delays, in the log. A suspension of the process counts as a delay. Returns a function that ends it. */
export const watchEventLoopDelay = ({monotonic, every, logger, metrics}: EventLoopDelayOptions): Cancel => {
	let sampledAt = monotonic();
	let loggedAt = Number.NEGATIVE_INFINITY;
	let longDelays = 0;
	let longest: Milliseconds = 0;

	const note = (delay: Milliseconds): void => {
		longDelays += 1;
		longest = Math.max(longest, delay);
	};

	const logDelays = (now: Milliseconds): void => {
		logger.warn('event-loop-delayed', {delays: longDelays, longest: Math.round(longest)});
		loggedAt = now;
		longDelays = 0;
		longest = 0;
	};

	return every(sampleInterval, () => {
		const now = monotonic();
		const delay = Math.max(0, now - sampledAt - sampleInterval);
		sampledAt = now;
		metrics.record('event_loop_delay', delay);
		if (delay >= loggedDelay) {
			note(delay);
		}

		if (longDelays > 0 && now - loggedAt >= logInterval) {
			logDelays(now);
		}
	});
};
