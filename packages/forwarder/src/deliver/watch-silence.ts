import type {Clock} from '@gentianlift/clock';
import type {Milliseconds} from '@gentianlift/types';

/** What is watched: a source of messages, and the longest silence that counts as normal. */
export type SilenceWatch = {getSilence: () => Milliseconds; maxSilence: Milliseconds; onSilent: () => void};

/** Interval at which the silence is checked. */
const checkInterval: Milliseconds = 200;

/**
Calls `onSilent` at each check at which a source has been silent for too long; returns a function that stops the checks.

A check that comes late is passed over: this process was suspended, and reads only now what has arrived meanwhile.
*/
export const watchSilence = ({monotonic, every}: Pick<Clock, 'monotonic' | 'every'>, {getSilence, maxSilence, onSilent}: SilenceWatch): (() => void) => {
	let checkedAt = monotonic();
	return every(checkInterval, () => {
		const wasSuspended = monotonic() - checkedAt > 2 * checkInterval;
		checkedAt = monotonic();
		if (!wasSuspended && getSilence() > maxSilence) {
			onSilent();
		}
	});
};
