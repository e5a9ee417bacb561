import type {Milliseconds} from '@gentianlift/types';
import type {Cancel, Clock} from './clock.js';

/** Clock for tests, whose time changes only through `advance` and `pause`. */
export type ManualClock = Clock & {
	/** Advances the time and runs the due timers in order, flushing pending microtasks before and after each. */
	advance: (by: Milliseconds) => Promise<void>;
	/** Advances the time without running timers, as when the process is suspended; due timers run late, at the next `advance`. */
	pause: (by: Milliseconds) => void;
	/** Returns the number of timers that have not yet fired or been cancelled. */
	countPendingTimers: () => number;
};

/** Pending timer; timers due at the same time run in order of `sequence`. */
type Timer = {dueAt: Milliseconds; sequence: number; run: () => void; interval?: Milliseconds};

/** Microtask turns per flush: the longest promise chain that settles between two timers. */
const microtaskRounds = 20;

const flushMicrotasks = async (): Promise<void> => {
	for (let round = 0; round < microtaskRounds; round++) {
		// eslint-disable-next-line no-await-in-loop -- Each round runs one more step of a pending promise chain.
		await Promise.resolve();
	}
};

/** Creates a manual clock whose time begins at `start`. */
export const createManualClock = (start: Milliseconds = 0): ManualClock => {
	let currentTime = start;
	let nextSequence = 0;
	const timers = new Set<Timer>();

	const addTimer = (delay: Milliseconds, run: () => void, interval?: Milliseconds): Cancel => {
		const timer: Timer = {dueAt: currentTime + Math.max(0, delay), sequence: nextSequence++, run};
		if (interval !== undefined) {
			timer.interval = interval;
		}

		timers.add(timer);
		return () => {
			timers.delete(timer);
		};
	};

	const findNextDue = (until: Milliseconds): Timer | undefined => {
		let next: Timer | undefined;
		for (const timer of timers) {
			const isEarlier = next === undefined || timer.dueAt < next.dueAt || (timer.dueAt === next.dueAt && timer.sequence < next.sequence);
			if (timer.dueAt <= until && isEarlier) {
				next = timer;
			}
		}

		return next;
	};

	const fire = (timer: Timer): void => {
		currentTime = Math.max(currentTime, timer.dueAt);
		if (timer.interval === undefined) {
			timers.delete(timer);
		} else {
			timer.dueAt = currentTime + timer.interval;
			timer.sequence = nextSequence++;
		}

		timer.run();
	};

	return {
		now: () => currentTime,
		monotonic: () => currentTime,
		after: (delay, run) => addTimer(delay, run),
		every: (interval, run) => addTimer(interval, run, interval),
		sleep: async delay => new Promise(resolve => {
			addTimer(delay, resolve);
		}),
		async advance(by) {
			const until = currentTime + by;
			await flushMicrotasks();
			for (let timer = findNextDue(until); timer !== undefined; timer = findNextDue(until)) {
				fire(timer);
				// eslint-disable-next-line no-await-in-loop -- Timers run sequentially, in order of their due time.
				await flushMicrotasks();
			}

			currentTime = Math.max(currentTime, until);
		},
		pause(by) {
			currentTime += by;
		},
		countPendingTimers: () => timers.size,
	};
};
