import type {Clock} from '@gentianlift/clock';
import type {Milliseconds} from '@gentianlift/types';

/** When this host may take duties over, so that no other host's calls for a subject lie between calls of this one within the separation. */
export type Separation = {
	/** Records that a call of this host for the subject may be under way. */
	recordCall: (subject: string) => void;
	/** Whether the separation has passed since the last call for the subject that this machine may have made. */
	hasPassed: (subject: string) => boolean;
};

/** Creates the separation for a process that has just started: an earlier one on the same machine may have made calls until now. */
export const createSeparation = ({monotonic}: Pick<Clock, 'monotonic'>, separation: Milliseconds): Separation => {
	const startedAt = monotonic();
	const lastCalls = new Map<string, Milliseconds>();
	return {
		recordCall(subject) {
			lastCalls.set(subject, monotonic());
		},
		hasPassed: subject => monotonic() - (lastCalls.get(subject) ?? startedAt) >= separation,
	};
};
