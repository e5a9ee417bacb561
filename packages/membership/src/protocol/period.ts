import type {Clock} from '@gentianlift/clock';
import type {Metrics} from '@gentianlift/metrics';
import type {Prober} from './prober.js';
import {
	forgetAfter, longestLateness, longestProbeLateness, probePeriod,
} from './timing.js';
import type {View} from './view.js';

/** What happens once a period. */
export type Period = {
	/** Sets the start of the first period. */
	reset: () => void;
	run: () => void;
};

const forgetOld = (view: View, clock: Clock): void => {
	const now = clock.monotonic();
	for (const {host} of view.table.getAll()) {
		const since = view.getGoneSince(host);
		if (since !== undefined && now - since > forgetAfter) {
			view.forget(host);
		}
	}
};

/** Creates the period of a host. One that starts late shows that this process was paused: others aren't blamed for that time. */
export const createPeriod = ({clock, metrics, view, prober}: {clock: Clock; metrics: Metrics; view: View; prober: Prober}): Period => {
	let startedAt = clock.monotonic();
	return {
		reset() {
			startedAt = clock.monotonic();
		},
		run() {
			const now = clock.monotonic();
			const lateness = now - startedAt - probePeriod;
			startedAt = now;
			if (lateness > longestProbeLateness) {
				prober.dropProbe();
			}

			if (lateness > longestLateness) {
				metrics.count('membership_pauses');
				view.suspicions.postpone(lateness + (2 * probePeriod));
			}

			prober.sweep();
			prober.startPeriod();
			view.notes.sweep();
			forgetOld(view, clock);
		},
	};
};
