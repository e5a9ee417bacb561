import type {Cancel, Clock} from '@gentianlift/clock';
import type {Milliseconds} from '@gentianlift/types';

/** Timer for the silence timeout of one connection. */
export type SilenceTimer = {
	/** Records that bytes arrived. */
	recordActivity: () => void;
	/** Changes the timeout, which counts from the last bytes that arrived. */
	setLimit: (limit: Milliseconds) => void;
	/** Suspends the timeout while the reader exerts backpressure. */
	pause: () => void;
	/** Restarts the timeout from now, if the timer is paused. */
	resume: () => void;
	stop: () => void;
};

/** Delay of a timer beyond which this process is assumed to have been suspended. */
const maxTimerDelay: Milliseconds = 500;

/** Creates a timer that calls `onTimeout` once if no bytes arrive within the limit. */
export const createSilenceTimer = (clock: Clock, initialLimit: Milliseconds, onTimeout: (limit: Milliseconds) => void): SilenceTimer => {
	let limit = initialLimit;
	let lastActivityAt = clock.monotonic();
	let isPaused = false;
	let isStopped = false;
	let dueAt = 0;
	let cancel: Cancel | undefined;

	const schedule = (delay: Milliseconds): void => {
		cancel?.();
		dueAt = clock.monotonic() + delay;
		cancel = clock.after(delay, check);
	};

	const check = (): void => {
		if (isPaused || isStopped) {
			return;
		}

		const now = clock.monotonic();
		// After a suspension of this process, unread bytes may be in the socket's buffer.
		const wasSuspended = now - dueAt > maxTimerDelay;
		lastActivityAt = wasSuspended ? now : lastActivityAt;
		const remaining = lastActivityAt + limit - now;
		if (remaining > 0) {
			schedule(remaining);
		} else {
			onTimeout(limit);
		}
	};

	const reschedule = (): void => {
		schedule(Math.max(0, lastActivityAt + limit - clock.monotonic()));
	};

	reschedule();
	return {
		recordActivity() {
			lastActivityAt = clock.monotonic();
		},
		setLimit(newLimit) {
			if (newLimit !== limit && !isStopped) {
				limit = newLimit;
				reschedule();
			}
		},
		pause() {
			isPaused = true;
		},
		resume() {
			if (isPaused && !isStopped) {
				isPaused = false;
				lastActivityAt = clock.monotonic();
				reschedule();
			}
		},
		stop() {
			isStopped = true;
			cancel?.();
		},
	};
};
