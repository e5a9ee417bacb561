import type {Clock} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {KeyValueService, Milliseconds} from '@gentianlift/types';
import type {ActiveVersion} from './active-version.js';
import type {FollowerTimings} from './follower-options.js';
import {getVersionNumber} from './follower-state.js';
import type {LastContact} from './last-contact.js';
import {createLoop, withTimeout, type Loop} from './loop.js';
import {currentVersionKey} from './store-keys.js';

/** Dependencies and options of the watch loop. */
export type WatchLoopOptions = {
	clock: Clock;
	metrics: Metrics;
	keyValue: Pick<KeyValueService, 'watch'>;
	activeVersion: ActiveVersion;
	lastContact: LastContact;
	timings: FollowerTimings;
	/** Whether this host is one of the few that watch the key-value service. */
	isWatcher: () => boolean;
};

/**
Creates the loop that watches the key-value service while this host is a watcher.
A watch that ends without a change although a version became active meanwhile has missed that change; it is counted, and polls fill the gap.
*/
export const createWatchLoop = (options: WatchLoopOptions): Loop => {
	const {clock, metrics, keyValue, activeVersion, lastContact, timings, isWatcher} = options;

	const watch = async (): Promise<Milliseconds> => {
		const requestedAt = clock.monotonic();
		const previousVersion = getVersionNumber(activeVersion.getState());
		const call = await withTimeout(clock, keyValue.watch(currentVersionKey, activeVersion.getLatestRevision(), timings.watchTimeout), timings.watchTimeout + timings.watchTimeoutMargin);
		if (call.kind === 'timed-out') {
			metrics.count('configuration_watch_silent');
			return 0;
		}

		const outcome = call.value;
		switch (outcome.kind) {
			case 'changed': {
				lastContact.record();
				activeVersion.applyEntry(outcome.entry, requestedAt);
				return 0;
			}

			case 'unchanged': {
				lastContact.record();
				if (getVersionNumber(activeVersion.getState()) > previousVersion) {
					metrics.count('configuration_watch_missed');
				}

				return 0;
			}

			case 'unavailable': {
				metrics.count('configuration_watch_unavailable');
				return timings.retryInterval;
			}
		}
	};

	return createLoop(clock, async () => {
		if (!isWatcher()) {
			return timings.watchTimeout;
		}

		const startedAt = clock.monotonic();
		const delay = await watch();
		return Math.max(delay, startedAt + timings.minWatchInterval - clock.monotonic());
	});
};
