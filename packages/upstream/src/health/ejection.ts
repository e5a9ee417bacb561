import type {Random} from '@gentianlift/clock';
import type {Milliseconds} from '@gentianlift/types';

/** How an upstream stands: `probing` upstreams take one request at a time. */
export type Standing = 'available' | 'probing' | 'ejected' | 'leaving';

/** The course of one upstream from ejection back to its full share. */
export type Ejection
	= | {kind: 'available'; since: Milliseconds; level: number}
		| {kind: 'ejected'; since: Milliseconds; until: Milliseconds; level: number}
		| {kind: 'probing'; since: Milliseconds; successes: number; level: number};

const firstBackoff: Milliseconds = 1000;
const longestBackoff: Milliseconds = 60_000;
/** Part of a backoff that is random. */
const jitterShare = 0.2;
/** Time without a failure after which one earlier ejection is forgiven. */
const forgiveAfter: Milliseconds = 60_000;
/** Successes in a row that end probing. */
const neededSuccesses = 2;
/** Time in which an upstream goes back to its full share, and the share that it starts with. */
const returnTime: Milliseconds = 10_000;
const firstShare = 0.1;

const getForgiven = ({level, since}: Ejection, now: Milliseconds): number =>
	Math.max(0, level - Math.floor((now - since) / forgiveAfter));

/** Ejects an upstream, for longer each time it fails again soon after its return. */
export const eject = (known: Ejection, now: Milliseconds, random: Random): Ejection => {
	const level = known.kind === 'available' ? getForgiven(known, now) : known.level;
	const backoff = Math.min(longestBackoff, firstBackoff * (2 ** level));
	const until = now + (backoff * (1 - jitterShare + (2 * jitterShare * random.next())));
	return {
		kind: 'ejected', since: now, until, level: level + 1,
	};
};

/** Moves an upstream on to probing once its time is over. */
export const getCurrent = (known: Ejection, now: Milliseconds): Ejection =>
	known.kind === 'ejected' && now >= known.until
		? {
			kind: 'probing', since: now, successes: 0, level: known.level,
		}
		: known;

/** Takes in a success. */
export const applySuccess = (known: Ejection, now: Milliseconds): Ejection => {
	if (known.kind !== 'probing') {
		return known;
	}

	const successes = known.successes + 1;
	return successes >= neededSuccesses ? {kind: 'available', since: now, level: known.level} : {...known, successes};
};

/** Gets the share of its usual work that an upstream may get, from 0 to 1. */
export const getReturnShare = (known: Ejection, now: Milliseconds): number => {
	switch (known.kind) {
		case 'ejected': {
			return 0;
		}

		case 'probing': {
			return firstShare;
		}

		case 'available': {
			const share = known.level === 0 ? 1 : (now - known.since) / returnTime;
			return Math.min(1, Math.max(firstShare, share));
		}
	}
};
