import type {Milliseconds} from '@gentianlift/types';
import type {Cancel, Clock} from './clock.js';

/** A clock that moves when a test says so. */
export type ManualClock = Clock & {
	/** Moves time forward and runs the timers that fall due, in order, letting promises settle between them. */
	advance: (by: Milliseconds) => Promise<void>;
	/** Moves time forward without running timers, as a paused process sees it. */
	pause: (by: Milliseconds) => void;
	/** Number of timers not yet due. */
	pending: () => number;
};

type Timer = {due: Milliseconds; order: number; run: () => void; interval?: Milliseconds};

const settleRounds = 20;

const settle = async (): Promise<void> => {
	for (let round = 0; round < settleRounds; round++) {
		// eslint-disable-next-line no-await-in-loop -- Each round lets one more step of a promise chain run.
		await Promise.resolve();
	}
};

/** Creates a clock for tests that starts at `start`. */
export const createManualClock = (start: Milliseconds = 0): ManualClock => {
	let time = start;
	let order = 0;
	const timers = new Set<Timer>();

	const add = (delay: Milliseconds, run: () => void, interval?: Milliseconds): Cancel => {
		const timer: Timer = {due: time + Math.max(0, delay), order: order++, run};
		if (interval !== undefined) {
			timer.interval = interval;
		}

		timers.add(timer);
		return () => {
			timers.delete(timer);
		};
	};

	const getNext = (until: Milliseconds): Timer | undefined => {
		let next: Timer | undefined;
		for (const timer of timers) {
			const isEarlier = next === undefined || timer.due < next.due || (timer.due === next.due && timer.order < next.order);
			if (timer.due <= until && isEarlier) {
				next = timer;
			}
		}

		return next;
	};

	const fire = (timer: Timer): void => {
		time = Math.max(time, timer.due);
		if (timer.interval === undefined) {
			timers.delete(timer);
		} else {
			timer.due = time + timer.interval;
			timer.order = order++;
		}

		timer.run();
	};

	return {
		now: () => time,
		monotonic: () => time,
		after: (delay, run) => add(delay, run),
		every: (interval, run) => add(interval, run, interval),
		sleep: async delay => new Promise(resolve => {
			add(delay, resolve);
		}),
		async advance(by) {
			const until = time + by;
			await settle();
			for (let timer = getNext(until); timer !== undefined; timer = getNext(until)) {
				fire(timer);
				// eslint-disable-next-line no-await-in-loop -- Timers run one after another.
				await settle();
			}

			time = Math.max(time, until);
		},
		pause(by) {
			time += by;
		},
		pending: () => timers.size,
	};
};
