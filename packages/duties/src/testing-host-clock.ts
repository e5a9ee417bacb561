import type {Cancel, Clock, ManualClock} from '@gentianlift/clock';
import type {Milliseconds} from '@gentianlift/types';

/** Clock of a process whose machine may be suspended, which its monotonic clock omits, or that may end. */
export type HostClock = Clock & {
	suspend: () => void;
	resume: () => void;
	/** Ends the process: none of its timers fires any more, and nothing that it waits for continues. */
	end: () => void;
	/** Resolves when the process runs; never if it has ended. */
	whenRunning: () => Promise<void>;
};

/** Creates the clock of a process that runs by a shared one. */
export const createHostClock = (shared: ManualClock): HostClock => {
	let suspendedAt: Milliseconds | undefined;
	let suspendedTime: Milliseconds = 0;
	let hasEnded = false;
	let waiting: Array<() => void> = [];

	const runWhenRunning = (run: () => void): void => {
		if (suspendedAt === undefined && !hasEnded) {
			run();
		} else {
			waiting.push(run);
		}
	};

	const after = (delay: Milliseconds, run: () => void): Cancel => {
		let isCancelled = false;
		const cancel = shared.after(delay, () => {
			runWhenRunning(() => {
				if (!isCancelled) {
					run();
				}
			});
		});
		return () => {
			isCancelled = true;
			cancel();
		};
	};

	const every = (interval: Milliseconds, run: () => void): Cancel => {
		let cancel: Cancel = () => undefined;
		const schedule = (): void => {
			cancel = after(interval, () => {
				schedule();
				run();
			});
		};

		schedule();
		return () => {
			cancel();
		};
	};

	return {
		now: shared.now,
		monotonic: () => (suspendedAt ?? shared.monotonic()) - suspendedTime,
		after,
		every,
		sleep: async delay => new Promise(resolve => {
			after(delay, resolve);
		}),
		suspend() {
			suspendedAt ??= shared.monotonic();
		},
		resume() {
			if (suspendedAt === undefined) {
				return;
			}

			suspendedTime += shared.monotonic() - suspendedAt;
			suspendedAt = undefined;
			const due = waiting;
			waiting = [];
			for (const run of due) {
				runWhenRunning(run);
			}
		},
		end() {
			hasEnded = true;
		},
		whenRunning: async () => new Promise(resolve => {
			runWhenRunning(resolve);
		}),
	};
};
