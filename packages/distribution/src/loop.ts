import type {Cancel, Clock} from '@gentianlift/clock';
import type {Milliseconds} from '@gentianlift/types';

/** A step that repeats until stopped. */
export type Loop = {
	/** Runs the first step after a while. */
	start: (after: Milliseconds) => void;
	/** Runs the first step now; resolves when it has ended. */
	run: () => Promise<void>;
	stop: () => void;
};

/** Creates a loop; each step answers how long to wait before the next. */
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

/** What became of a call that had to end within a time limit. */
export type Limited<Value> = {kind: 'ended'; value: Value} | {kind: 'silent'};

/** Waits for a call up to a limit. A later end of the call is dropped. */
export const waitAtMost = async <Value>(clock: Clock, call: Promise<Value>, limit: Milliseconds): Promise<Limited<Value>> => {
	let cancel: Cancel | undefined;
	const silence = new Promise<Limited<Value>>(resolve => {
		cancel = clock.after(limit, () => {
			resolve({kind: 'silent'});
		});
	});
	const end = async (): Promise<Limited<Value>> => ({kind: 'ended', value: await call});
	try {
		return await Promise.race([end(), silence]);
	} finally {
		cancel?.();
	}
};
