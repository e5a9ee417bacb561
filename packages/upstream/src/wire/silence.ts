import type {Cancel, Clock} from '@gentianlift/clock';
import type {Milliseconds} from '@gentianlift/types';

/** Watches one connection for silence. */
export type SilenceWatch = {
	/** Notes that bytes arrived. */
	touch: () => void;
	/** Changes the limit, counted from the last bytes. */
	setLimit: (limit: Milliseconds) => void;
	/** Stops counting while the reader isn't ready for more. */
	pause: () => void;
	/** Counts again, from now. */
	resume: () => void;
	stop: () => void;
};

/** How late a timer may be before this process counts as having been paused. */
const longestLateness: Milliseconds = 500;

/** Creates a watch that calls `onSilent` once when no bytes arrive within the limit. */
export const createSilenceWatch = (clock: Clock, firstLimit: Milliseconds, onSilent: (limit: Milliseconds) => void): SilenceWatch => {
	let limit = firstLimit;
	let touchedAt = clock.monotonic();
	let isPaused = false;
	let isStopped = false;
	let dueAt = 0;
	let cancel: Cancel | undefined;

	const wait = (delay: Milliseconds): void => {
		cancel?.();
		dueAt = clock.monotonic() + delay;
		cancel = clock.after(delay, check);
	};

	const check = (): void => {
		if (isPaused || isStopped) {
			return;
		}

		const now = clock.monotonic();
		// After a pause of this process, bytes may be waiting that it hasn't read.
		const wasPaused = now - dueAt > longestLateness;
		touchedAt = wasPaused ? now : touchedAt;
		const left = touchedAt + limit - now;
		if (left > 0) {
			wait(left);
		} else {
			onSilent(limit);
		}
	};

	const restart = (): void => {
		wait(Math.max(0, touchedAt + limit - clock.monotonic()));
	};

	restart();
	return {
		touch() {
			touchedAt = clock.monotonic();
		},
		setLimit(next) {
			if (next !== limit && !isStopped) {
				limit = next;
				restart();
			}
		},
		pause() {
			isPaused = true;
		},
		resume() {
			if (isPaused && !isStopped) {
				isPaused = false;
				touchedAt = clock.monotonic();
				restart();
			}
		},
		stop() {
			isStopped = true;
			cancel?.();
		},
	};
};
