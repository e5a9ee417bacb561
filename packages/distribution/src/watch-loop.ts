import type {Clock} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {KeyValueService, Milliseconds} from '@gentianlift/types';
import type {Contact} from './contact.js';
import type {FollowerTimes} from './follower-options.js';
import type {Holder} from './holder.js';
import {createLoop, waitAtMost, type Loop} from './loop.js';
import type {ServiceReader} from './service-reader.js';
import {currentKey} from './store-keys.js';

/** What the watch loop needs. */
export type WatchOptions = {
	clock: Clock;
	metrics: Metrics;
	keyValue: Pick<KeyValueService, 'watch'>;
	holder: Holder;
	contact: Contact;
	times: FollowerTimes;
	readService: ServiceReader;
	/** Whether this host is one of the few that watch. */
	isWatcher: () => boolean;
};

/**
Creates the loop that watches the service while this host is a watcher.
Each watch that ends without a change is checked by a read, so that a watch that lost track is found.
*/
export const createWatchLoop = (options: WatchOptions): Loop => {
	const {clock, metrics, keyValue, holder, contact, times, readService, isWatcher} = options;

	const checkByRead = async (): Promise<Milliseconds> => {
		const result = await readService();
		if (result === 'newer') {
			metrics.count('configuration_watch_missed');
		}

		return result === 'unavailable' ? times.retryInterval : 0;
	};

	const watch = async (): Promise<Milliseconds> => {
		const askedAt = clock.monotonic();
		const call = await waitAtMost(clock, keyValue.watch(currentKey, holder.getRevision(), times.watchLimit), times.watchLimit + times.watchMargin);
		if (call.kind === 'silent') {
			metrics.count('configuration_watch_silent');
			return checkByRead();
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
				return checkByRead();
			}

			case 'unavailable': {
				metrics.count('configuration_watch_unavailable');
				return times.retryInterval;
			}
		}
	};

	return createLoop(clock, async () => isWatcher() ? watch() : times.watchLimit);
};
