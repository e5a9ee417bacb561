import type {Random} from '@gentianlift/clock';
import type {Group} from '@gentianlift/policy';
import type {GroupId, Milliseconds, Rank} from '@gentianlift/types';

/** An owner's last word on the wait in its group halves in this time. */
const digestHalfLife: Milliseconds = 1000;

/** What the owners last said of the wait in their groups, by rank. */
export type WaitDigests = {
	apply: (group: GroupId, rank: Rank, wait: Milliseconds, now: Milliseconds) => void;
	getWait: (group: GroupId, rank: Rank, now: Milliseconds) => Milliseconds;
};

/** Creates digests in which no group has a wait. */
export const createWaitDigests = (): WaitDigests => {
	const digests = new Map<string, {wait: Milliseconds; at: Milliseconds}>();
	return {
		apply(group, rank, wait, now) {
			digests.set(`${group}/${rank}`, {wait, at: now});
		},
		getWait(group, rank, now) {
			const digest = digests.get(`${group}/${rank}`);
			return digest === undefined ? 0 : digest.wait * (0.5 ** ((now - digest.at) / digestHalfLife));
		},
	};
};

/** Chooses the better of two groups drawn at random; undefined when there is none. */
export const chooseGroup = (groups: readonly Group[], getWait: (group: GroupId) => Milliseconds, random: Random): Group | undefined => {
	const first = random.pick(groups);
	const second = random.pick(groups.filter(group => group !== first));
	if (first === undefined || second === undefined) {
		return first;
	}

	return getWait(second.id) < getWait(first.id) ? second : first;
};
