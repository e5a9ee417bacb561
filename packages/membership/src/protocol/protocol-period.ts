import type {Clock} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {Prober} from './prober.js';
import {
	goneRetention, pauseThreshold, maxProbeLateness, probeInterval,
} from './timing.js';
import type {View} from './view.js';

/** Runs the work of a protocol period: failure detection, and the removal of expired state. */
export type ProtocolPeriod = {
	/** Sets the start of the first period to now. */
	reset: () => void;
	/** Runs one period; has to be called once per `probeInterval`. */
	run: () => void;
};

const removeExpiredMembers = (view: View, clock: Clock): void => {
	const now = clock.monotonic();
	for (const {host} of view.table.getAll()) {
		const since = view.getGoneSince(host);
		if (since !== undefined && now - since > goneRetention) {
			view.removeMember(host);
		}
	}
};

/** Creates the protocol period of a host. A period that starts late shows that this process was paused: acknowledgements missed and suspicion timeouts expired in that time are not held against other hosts. */
export const createProtocolPeriod = ({clock, metrics, view, prober}: {clock: Clock; metrics: Metrics; view: View; prober: Prober}): ProtocolPeriod => {
	let startedAt = clock.monotonic();
	return {
		reset() {
			startedAt = clock.monotonic();
		},
		run() {
			const now = clock.monotonic();
			const lateness = now - startedAt - probeInterval;
			startedAt = now;
			if (lateness > maxProbeLateness) {
				prober.abandonProbe();
			}

			if (lateness > pauseThreshold) {
				metrics.count('membership_pauses');
				view.suspicions.postpone(lateness + (2 * probeInterval));
			}

			prober.declareExpiredGone();
			prober.startNextProbe();
			view.announcements.removeExpired();
			removeExpiredMembers(view, clock);
		},
	};
};
