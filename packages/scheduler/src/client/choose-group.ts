import type {Random} from '@gentianlift/clock';
import type {Group} from '@gentianlift/policy';
import type {GroupId, Milliseconds, Rank} from '@gentianlift/types';

/** Half-life of the wait that an owner last reported. */
const waitHalfLife: Milliseconds = 1000;

/** Estimated waits by group and rank, from the last reports of the owners. */
export type WaitEstimates = {
	/** Records the wait that an owner has reported. */
	apply: (group: GroupId, rank: Rank, wait: Milliseconds, now: Milliseconds) => void;
	/** Returns the decayed estimate; 0 for a group without reports. */
	getWait: (group: GroupId, rank: Rank, now: Milliseconds) => Milliseconds;
};

/** Creates estimates in which no group has a wait. */
export const createWaitEstimates = (): WaitEstimates => {
	const estimates = new Map<string, {wait: Milliseconds; at: Milliseconds}>();
	return {
		apply(group, rank, wait, now) {
			estimates.set(`${group}/${rank}`, {wait, at: now});
		},
		getWait(group, rank, now) {
			const estimate = estimates.get(`${group}/${rank}`);
			return estimate === undefined ? 0 : estimate.wait * (0.5 ** ((now - estimate.at) / waitHalfLife));
		},
	};
};

/** Chooses the one with the shorter wait of two groups sampled at random; undefined when there is no group. */
export const chooseGroup = (groups: readonly Group[], getWait: (group: GroupId) => Milliseconds, random: Random): Group | undefined => {
	const first = random.pick(groups);
	const second = random.pick(groups.filter(group => group !== first));
	if (first === undefined || second === undefined) {
		return first;
	}

	return getWait(second.id) < getWait(first.id) ? second : first;
};
