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

/** Creates a watch that calls `onSilent` once when no bytes arrive within the limit. */
export const createSilenceWatch = (clock: Clock, firstLimit: Milliseconds, onSilent: (limit: Milliseconds) => void): SilenceWatch => {
	let limit = firstLimit;
	let touchedAt = clock.monotonic();
	let isPaused = false;
	let isStopped = false;
	let cancel: Cancel | undefined;

	const check = (): void => {
		cancel = undefined;
		if (isPaused || isStopped) {
			return;
		}

		const left = touchedAt + limit - clock.monotonic();
		if (left > 0) {
			cancel = clock.after(left, check);
		} else {
			onSilent(limit);
		}
	};

	const restart = (): void => {
		cancel?.();
		cancel = clock.after(limit, check);
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
