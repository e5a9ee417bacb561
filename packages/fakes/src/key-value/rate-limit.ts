import type {Clock} from '@gentianlift/clock';

/** Token bucket that limits the rate of calls. */
export type RateLimit = {
	/** Takes a token; returns false if none is available. */
	take: () => boolean;
};

const millisecondsPerSecond = 1000;

/** Creates a full token bucket that refills continuously and holds at most one second's calls. */
export const createRateLimit = (clock: Clock, callsPerSecond: number): RateLimit => {
	let tokens = callsPerSecond;
	let refilledAt = clock.monotonic();
	return {
		take() {
			const now = clock.monotonic();
			tokens = Math.min(callsPerSecond, tokens + ((now - refilledAt) / millisecondsPerSecond * callsPerSecond));
			refilledAt = now;
			if (tokens < 1) {
				return false;
			}

			tokens--;
			return true;
		},
	};
};
