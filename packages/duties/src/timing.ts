import type {Milliseconds} from '@gentianlift/types';

/** Durations and intervals of the leases under which duties are held. */
export const dutyTiming = {
	/** Duration of the lease in the store. */
	leaseDuration: 3000,
	/** Time by which the holder regards its lease as ended before the store does. */
	validityMargin: 300,
	/** Interval between renewals. */
	renewalInterval: 1000,
	/** Time from a renewal without an answer to the next. */
	renewalRetryInterval: 300,
	/** Time after the validity of a lease from which it isn't renewed any more: if only the answers of the renewals are lost, they keep other hosts from following. */
	maxUnconfirmedTime: 3000,
	/** Interval at which this host looks, without a call, for free subjects and renewals that are due. */
	checkInterval: 200,
	/** Time by which each candidate leaves a free subject to the one before it. */
	candidateDelay: 400,
	/** Time from an attempt to take a subject that failed to the next. */
	attemptInterval: 1000,
	/** The same if the store has an entry of a holder that this host doesn't know of. */
	rejectedAttemptInterval: 5000,
	/** Time that a call may last beyond its timeout, as timers fire late. */
	callOverrun: 200,
	/** Interval at which a call in flight is checked to end before the lease. */
	callCheckInterval: 50,
	/** Time without a successful call after which a holder leaves its duties to another host. */
	maxCallFailure: 4000,
	/** Longest pause between failed calls that count together; longer than any between the repetitions of a call. */
	maxFailurePause: 8000,
	/** Time for which a subject is free until that is an alarm. */
	maxUnheldTime: 6000,
} as const satisfies Record<string, Milliseconds>;
