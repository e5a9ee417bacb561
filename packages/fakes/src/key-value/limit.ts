import type {Clock} from '@gentianlift/clock';

/** A limit on calls a second. */
export type Limit = {
	/** Takes one call from the limit; false if none is left. */
	take: () => boolean;
};

const millisecondsPerSecond = 1000;

/** Creates a limit that fills evenly and holds at most one second's calls. */
export const createLimit = (clock: Clock, perSecond: number): Limit => {
	let left = perSecond;
	let filledAt = clock.monotonic();
	return {
		take() {
			const now = clock.monotonic();
			left = Math.min(perSecond, left + ((now - filledAt) / millisecondsPerSecond * perSecond));
			filledAt = now;
			if (left < 1) {
				return false;
			}

			left--;
			return true;
		},
	};
};
