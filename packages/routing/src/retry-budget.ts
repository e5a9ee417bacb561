import type {Milliseconds} from '@gentianlift/types';

/** Limit on the retries of one service's requests, by all hosts together within a sliding window. Hosts use only `usableFraction` of it. */
export type RetryLimit = {
	/** Retries that each request adds to the budget. */
	ratio: number;
	/** Retries that are allowed in a window whatever the number of requests. */
	minimum: number;
	window: Milliseconds;
};

/** The part of the limit that one host may use. */
export type RetryBudget = {
	/** Records the arrival of a request. */
	addRequest: (now: Milliseconds) => void;
	/** Takes one retry from the budget; returns false if none is left. `hostCount` hosts share the limit. */
	take: (now: Milliseconds, hostCount: number) => boolean;
	/** Gives back a retry that was taken and not used. */
	restore: () => void;
};

/** Fraction of the limit that hosts use, as they notice a change of the number of hosts at different times. */
const usableFraction = 0.75;
/** Number of slices into which a window is divided for counting. */
const slicesPerWindow = 10;

type Slice = {start: Milliseconds; requests: number; retries: number};

/** Creates one host's budget for a service. Later changes of `limit` take effect at the next call. */
export const createRetryBudget = (limit: Readonly<RetryLimit>): RetryBudget => {
	const slices: Slice[] = [];

	const getSlice = (now: Milliseconds): Slice => {
		const {window} = limit;
		const sliceDuration = window / slicesPerWindow;
		while (slices.length > 0 && (slices[0]?.start ?? 0) <= now - window - sliceDuration) {
			slices.shift();
		}

		const last = slices.at(-1);
		if (last !== undefined && now < last.start + sliceDuration) {
			return last;
		}

		const slice = {start: now, requests: 0, retries: 0};
		slices.push(slice);
		return slice;
	};

	return {
		addRequest(now) {
			getSlice(now).requests += 1;
		},
		take(now, hostCount) {
			const slice = getSlice(now);
			const requests = slices.reduce((sum, item) => sum + item.requests, 0);
			const retries = slices.reduce((sum, item) => sum + item.retries, 0);
			const allowed = usableFraction * ((limit.ratio * requests) + (limit.minimum / Math.max(1, hostCount)));
			if (retries + 1 > allowed) {
				return false;
			}

			slice.retries += 1;
			return true;
		},
		restore() {
			const slice = slices.findLast(({retries}) => retries > 0);
			if (slice !== undefined) {
				slice.retries -= 1;
			}
		},
	};
};
