import type {Milliseconds} from '@gentianlift/types';
import type {GroupState} from '../state.js';
import {removeEntry} from './entries.js';
import {preempt} from './preempt.js';
import {shedExcess, shedUnservable} from './shed.js';
import {accountElapsedTime} from './account-time.js';

/** Entries that their host hasn't named for this long are removed. */
export const entryExpiry: Milliseconds = 6000;
/** How long the end of an attempt is kept to recognise late messages about it. */
const endedAttemptExpiry: Milliseconds = 60_000;

/** Minimum time since the last pass of a group after which a message triggers another one; the timer's passes disregard it. */
const minMessagePassInterval: Milliseconds = 20;

/** Grants free slots after a message, and runs a scheduling pass if the minimum time since the last one is over. */
export const runPassIfDue = (state: GroupState): void => {
	grantFreeSlots(state);
	if (state.context.clock.monotonic() - state.lastPassAt >= minMessagePassInterval) {
		runPass(state);
	}
};

/** Runs a scheduling pass over a group: removes expired entries, sheds those that can't be served in time, preempts, and grants free slots. */
export const runPass = (state: GroupState): void => {
	accountElapsedTime(state);
	state.lastPassAt = state.context.clock.monotonic();
	removeExpired(state);
	shedExcess(state);
	shedUnservable(state);
	preempt(state);
	grantFreeSlots(state);
};

/** Makes the queue grant free slots: setting its concurrency makes p-queue look for tasks that can start. */
export const grantFreeSlots = (state: GroupState): void => {
	const {queue} = state;
	const {concurrency} = queue;
	queue.concurrency = concurrency;
};

const removeExpired = (state: GroupState): void => {
	const now = state.context.clock.monotonic();
	for (const entry of state.entries.values()) {
		if (now - entry.refreshedAt > entryExpiry) {
			removeEntry(state, entry);
			state.context.metrics.count('grants_expired', {state: entry.state.kind});
		}
	}

	// The attempts are in order of time, as `rememberEndedAttempt` re-inserts each that it records: all after the first recent one are recent.
	for (const [request, {at}] of state.endedAttempts) {
		if (now - at <= endedAttemptExpiry) {
			return;
		}

		state.endedAttempts.delete(request);
	}
};
