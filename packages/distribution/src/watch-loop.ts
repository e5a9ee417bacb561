import type {Clock} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {KeyValueService, Milliseconds} from '@gentianlift/types';
import type {Contact} from './contact.js';
import type {FollowerTimes} from './follower-options.js';
import {getVersion} from './follower-state.js';
import type {Holder} from './holder.js';
import {createLoop, waitAtMost, type Loop} from './loop.js';
import {currentKey} from './store-keys.js';

/** What the watch loop needs. */
export type WatchOptions = {
	clock: Clock;
	metrics: Metrics;
	keyValue: Pick<KeyValueService, 'watch'>;
	holder: Holder;
	contact: Contact;
	times: FollowerTimes;
	/** Whether this host is one of the few that watch. */
	isWatcher: () => boolean;
};

/**
Creates the loop that watches the service while this host is a watcher.
A watch that ends without a change, though a version came into force meanwhile, has lost track; polls bring what it missed.
*/
export const createWatchLoop = (options: WatchOptions): Loop => {
	const {clock, metrics, keyValue, holder, contact, times, isWatcher} = options;

	const watch = async (): Promise<Milliseconds> => {
		const askedAt = clock.monotonic();
		const before = getVersion(holder.getState());
		const call = await waitAtMost(clock, keyValue.watch(currentKey, holder.getRevision(), times.watchLimit), times.watchLimit + times.watchMargin);
		if (call.kind === 'silent') {
			metrics.count('configuration_watch_silent');
			return 0;
		}

		const outcome = call.value;
		switch (outcome.kind) {
			case 'changed': {
				contact.note();
				holder.offerEntry(outcome.entry, askedAt);
				return 0;
			}

			case 'unchanged': {
				contact.note();
				if (getVersion(holder.getState()) > before) {
					metrics.count('configuration_watch_missed');
				}

				return 0;
			}

			case 'unavailable': {
				metrics.count('configuration_watch_unavailable');
				return times.retryInterval;
			}
		}
	};

	return createLoop(clock, async () => {
		if (!isWatcher()) {
			return times.watchLimit;
		}

		const begun = clock.monotonic();
		const delay = await watch();
		return Math.max(delay, begun + times.watchSpacing - clock.monotonic());
	});
};
