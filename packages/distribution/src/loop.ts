import type {Cancel, Clock} from '@gentianlift/clock';
import type {Milliseconds} from '@gentianlift/types';

/** A task that repeats until it is stopped. */
export type Loop = {
	/** Schedules the first step after a delay. */
	start: (after: Milliseconds) => void;
	/** Runs the first step now; resolves when that step has finished. */
	run: () => Promise<void>;
	stop: () => void;
};

/** Creates a loop. Each step returns the delay before the next one. */
export const createLoop = (clock: Clock, step: () => Promise<Milliseconds>): Loop => {
	let isStopped = true;
	let cancel: Cancel | undefined;

	const run = async (): Promise<void> => {
		const delay = await step();
		if (!isStopped) {
			schedule(delay);
		}
	};

	const schedule = (delay: Milliseconds): void => {
		cancel = clock.after(delay, () => {
			void run();
		});
	};

	return {
		start(after) {
			isStopped = false;
			schedule(after);
		},
		async run() {
			isStopped = false;
			await run();
		},
		stop() {
			isStopped = true;
			cancel?.();
		},
	};
};

/** Outcome of a call with a timeout. */
export type TimedOutcome<Value> = {kind: 'completed'; value: Value} | {kind: 'timed-out'};

/** Waits for a call until a timeout. The result of a call that finishes later is ignored. */
export const withTimeout = async <Value>(clock: Clock, call: Promise<Value>, timeout: Milliseconds): Promise<TimedOutcome<Value>> => {
	let cancel: Cancel | undefined;
	const timeoutPromise = new Promise<TimedOutcome<Value>>(resolve => {
		cancel = clock.after(timeout, () => {
			resolve({kind: 'timed-out'});
		});
	});
	const awaitCall = async (): Promise<TimedOutcome<Value>> => ({kind: 'completed', value: await call});
	try {
		return await Promise.race([awaitCall(), timeoutPromise]);
	} finally {
		cancel?.();
	}
};
