import type {Logger} from '@gentianlift/logger';
import type {Milliseconds} from '@gentianlift/types';

/** Interval on the monotonic clock. */
export type Interval = {from: Milliseconds; to: Milliseconds};

/** When the store has answered this host. */
export type StoreContact = {
	/** Records whether the store answered the last call; returns whether it does again after it did not. */
	record: (isReached: boolean, now: Milliseconds) => boolean;
	/** Returns whether the last recorded call was answered. */
	isReached: () => boolean;
	/** Returns the time since the last answer; infinite before the first. */
	getSilence: (now: Milliseconds) => Milliseconds;
	/** Returns the last interval in which no answer came for longer than a watch lasts, so that entries may have changed unseen; its end is infinite while it lasts. Undefined if there was none. */
	getUnseenInterval: (now: Milliseconds) => Interval | undefined;
};

/** Longest time between two answers of a store that is in order: that of a watch, and some for its answer. */
const maxContactGap: Milliseconds = 3000;

/** Creates it before the first answer; `getRevision` is for the log. */
export const createStoreContact = (logger: Logger, getRevision: () => number): StoreContact => {
	let lastContactAt = Number.NEGATIVE_INFINITY;
	let unseen: Interval | undefined;
	let wasReached = true;

	const isUnseen = (now: Milliseconds): boolean => Number.isFinite(lastContactAt) && now - lastContactAt > maxContactGap;

	return {
		record(isReached, now) {
			const isRegained = isReached && !wasReached;
			if (isReached !== wasReached) {
				logger.warn(isReached ? 'store-regained' : 'store-lost', {revision: getRevision(), silence: Math.round(now - lastContactAt)});
			}

			if (isReached) {
				unseen = isUnseen(now) ? {from: lastContactAt, to: now} : unseen;
				lastContactAt = now;
			}

			wasReached = isReached;
			return isRegained;
		},
		isReached: () => wasReached,
		getSilence: now => now - lastContactAt,
		getUnseenInterval: now => isUnseen(now) ? {from: lastContactAt, to: Number.POSITIVE_INFINITY} : unseen,
	};
};
