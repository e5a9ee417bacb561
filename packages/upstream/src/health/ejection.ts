import type {Random} from '@gentianlift/clock';
import type {Milliseconds} from '@gentianlift/types';

/** State of one upstream between its ejection and its return to full traffic. `level` is the exponent of the next ejection's backoff. */
export type EjectionState
	= | {kind: 'available'; since: Milliseconds; level: number}
		| {kind: 'ejected'; since: Milliseconds; until: Milliseconds; level: number}
		| {kind: 'probing'; since: Milliseconds; successes: number; level: number};

const initialBackoff: Milliseconds = 1000;
const maxBackoff: Milliseconds = 60_000;
/** Jitter of a backoff, as a fraction in either direction. */
const jitterFraction = 0.2;
/** Time as available, without another ejection, after which the backoff level decreases by one. */
const levelDecayInterval: Milliseconds = 60_000;
/** Number of consecutive successes that end probing. */
const requiredSuccesses = 2;
/** Time over which traffic to an upstream returns to its usual amount after probing. */
const rampUpDuration: Milliseconds = 10_000;
/** Fraction of the usual traffic while probing and at the start of the ramp-up. */
const initialFraction = 0.1;

const getDecayedLevel = ({level, since}: EjectionState, now: Milliseconds): number =>
	Math.max(0, level - Math.floor((now - since) / levelDecayInterval));

/** Ejects an upstream, with an exponential backoff if it fails again soon after its return. */
export const eject = (state: EjectionState, now: Milliseconds, random: Random): EjectionState => {
	const level = state.kind === 'available' ? getDecayedLevel(state, now) : state.level;
	const backoff = Math.min(maxBackoff, initialBackoff * (2 ** level));
	const until = now + (backoff * (1 - jitterFraction + (2 * jitterFraction * random.next())));
	return {
		kind: 'ejected', since: now, until, level: level + 1,
	};
};

/** Returns the state in which an upstream is probed, once its ejection has expired. */
export const startProbingWhenDue = (state: EjectionState, now: Milliseconds): EjectionState =>
	state.kind === 'ejected' && now >= state.until
		? {
			kind: 'probing', since: now, successes: 0, level: state.level,
		}
		: state;

/** Returns the state after a successful request. */
export const addSuccess = (state: EjectionState, now: Milliseconds): EjectionState => {
	if (state.kind !== 'probing') {
		return state;
	}

	const successes = state.successes + 1;
	return successes >= requiredSuccesses ? {kind: 'available', since: now, level: state.level} : {...state, successes};
};

/** Returns the fraction of its usual traffic that an upstream may get, from 0 to 1. */
export const getTrafficFraction = (state: EjectionState, now: Milliseconds): number => {
	switch (state.kind) {
		case 'ejected': {
			return 0;
		}

		case 'probing': {
			return initialFraction;
		}

		case 'available': {
			const fraction = state.level === 0 ? 1 : (now - state.since) / rampUpDuration;
			return Math.min(1, Math.max(initialFraction, fraction));
		}
	}
};
