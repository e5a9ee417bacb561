import {isLeaseValid} from '@gentianlift/platform';
import type {FencingSupport, Milliseconds} from '@gentianlift/types';
import type {Timing} from '../timing.js';

/** Period during which a host holds the lease. */
export type Term = {
	/** Higher than the fencing number of each earlier term. */
	fencingNumber: number;
	/** Id of the lease in the key-value service. */
	leaseId: string;
	/** Moment on the monotonic clock from which the holder must not act. */
	validUntil: Milliseconds;
	/** Moment on the monotonic clock from which orders may go to engines that ignore fencing numbers. */
	unfencedOrdersFrom: Milliseconds;
};

/** Returns the moment from which no order of an earlier holder can arrive any more. */
export const getUnfencedOrdersFrom = (acquiredAt: Milliseconds, {maxOrderLifetime}: Pick<Timing, 'maxOrderLifetime'>): Milliseconds =>
	acquiredAt + maxOrderLifetime;

/** Whether the term is still valid. */
export const isTermValid = (term: Term, now: Milliseconds): boolean => isLeaseValid(term, now);

/**
Whether an order may be sent now.

An engine that checks fencing numbers refuses stale orders itself. For an engine that ignores them, the order must end within the term, and the orders of earlier holders must have ended.
*/
export const isOrderAllowed = (term: Term, fencing: FencingSupport, now: Milliseconds, {orderTimeout}: Pick<Timing, 'orderTimeout'>): boolean => {
	switch (fencing) {
		case 'checked': {
			return isTermValid(term, now);
		}

		case 'ignored': {
			return now >= term.unfencedOrdersFrom && isTermValid(term, now + orderTimeout);
		}
	}
};
