import type {Milliseconds} from '@gentianlift/types';
import type {GroupState} from '../state.js';
import {removeEntry} from './entries.js';
import {preempt} from './preempt.js';
import {shedExcess, shedLate} from './shed.js';
import {advanceTime} from './time.js';

/** Entries that their host hasn't named for this long are dropped. */
export const entryExpiry: Milliseconds = 6000;
/** How long the end of an attempt is remembered. */
const endedExpiry: Milliseconds = 60_000;

/** Least time between two reviews of a group. */
const leastInterval: Milliseconds = 20;

/** Grants what has a slot now, and looks through the group unless that was done a moment ago. */
export const reviewSoon = (state: GroupState): void => {
	kick(state);
	if (state.context.clock.monotonic() - state.reviewedAt >= leastInterval) {
		review(state);
	}
};

/** Looks through a group: drops what has expired, refuses what can't be served in time, and asks runs to yield. */
export const review = (state: GroupState): void => {
	advanceTime(state);
	state.reviewedAt = state.context.clock.monotonic();
	expire(state);
	shedExcess(state);
	shedLate(state);
	preempt(state);
	kick(state);
};

/** Lets the queue grant what has a slot now. */
export const kick = (state: GroupState): void => {
	const {queue} = state;
	const {concurrency} = queue;
	queue.concurrency = concurrency;
};

const expire = (state: GroupState): void => {
	const now = state.context.clock.monotonic();
	for (const entry of state.entries.values()) {
		if (now - entry.refreshedAt > entryExpiry) {
			removeEntry(state, entry);
			state.context.metrics.count('grants_expired', {state: entry.state.kind});
		}
	}

	for (const [request, {at}] of state.ended) {
		if (now - at <= endedExpiry) {
			return;
		}

		state.ended.delete(request);
	}
};
