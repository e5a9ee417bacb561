import type {Clock} from '@gentianlift/clock';
import type {HostId, Milliseconds} from '@gentianlift/types';

/** Time since the epoch that a jump of this host's system time doesn't disturb. */
export type TrueTime = {
	now: () => Milliseconds;
	/** Records that a host's system time was `builtAt` when it sent what has just arrived. */
	observe: (host: HostId, builtAt: Milliseconds) => void;
	/** Corrects the time by the clocks of the hosts; to be called about once a second. */
	adjust: () => void;
	/** Returns the deviation of this host's system time. */
	getDeviation: () => Milliseconds;
};

/** Offset of a host's system time to the steady clock of this host, and when it was seen. */
type Observation = {offset: Milliseconds; at: Milliseconds};

/** Age up to which another host's clock counts. */
const observationLifetime: Milliseconds = 2000;
/** Fewest clocks of which one that is wrong can be told. */
const minClocks = 3;
/** Milliseconds a second by which the time follows this host's own clock where no others tell which is right. */
const followingRate = 1;
const millisecondsPerSecond = 1000;

const getMedian = (values: readonly number[]): number => {
	const sorted = values.toSorted((one, other) => one - other);
	const middle = Math.floor(sorted.length / 2);
	return sorted.length % 2 === 1 ? sorted[middle] ?? 0 : ((sorted[middle - 1] ?? 0) + (sorted[middle] ?? 0)) / 2;
};

/** Creates the time by this host's clock alone. */
export const createTrueTime = ({now, monotonic}: Pick<Clock, 'now' | 'monotonic'>): TrueTime => {
	const observations = new Map<HostId, Observation>();
	const getOwnOffset = (): Milliseconds => now() - monotonic();
	let offset = getOwnOffset();
	let adjustedAt = monotonic();

	const getOffsets = (): Milliseconds[] => {
		const current = monotonic();
		for (const [host, {at}] of observations) {
			if (current - at > observationLifetime) {
				observations.delete(host);
			}
		}

		return [getOwnOffset(), ...[...observations.values()].map(observation => observation.offset)];
	};

	/** Returns the offset after it has followed this host's own clock for a time. */
	const follow = (elapsed: Milliseconds): Milliseconds => {
		const maxStep = elapsed / millisecondsPerSecond * followingRate;
		const difference = getOwnOffset() - offset;
		return offset + Math.max(-maxStep, Math.min(maxStep, difference));
	};

	return {
		now: () => monotonic() + offset,
		observe(host, builtAt) {
			const at = monotonic();
			const known = observations.get(host);
			const seen = builtAt - at;
			// What arrives late makes the sender's clock look slow, so the largest offset is the nearest.
			if (known === undefined || at - known.at > observationLifetime || seen >= known.offset) {
				observations.set(host, {offset: seen, at});
			}
		},
		adjust() {
			const offsets = getOffsets();
			const elapsed = monotonic() - adjustedAt;
			adjustedAt = monotonic();
			offset = offsets.length >= minClocks ? getMedian(offsets) : follow(elapsed);
		},
		getDeviation: () => getOwnOffset() - offset,
	};
};
