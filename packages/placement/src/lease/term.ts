import type {Fencing, Milliseconds} from '@gentianlift/types';
import type {Timing} from '../timing.js';

/** The time for which a host holds the lease. */
export type Term = {
	/** Higher than that of each earlier holder. */
	fencingNumber: number;
	/** Name of the lease at the service. */
	lease: string;
	/** Moment on the monotonic clock after which the holder must not act. */
	validUntil: Milliseconds;
	/** Moment on the monotonic clock from which engines that ignore fencing numbers get orders. */
	waitsUntil: Milliseconds;
};

/** Gets the moment up to which a lease that was asked for at `askedAt` is safely held: the service counts from a later moment. */
export const getValidUntil = (askedAt: Milliseconds, {lease, margin}: Pick<Timing, 'lease' | 'margin'>): Milliseconds =>
	askedAt + lease - margin;

/** Gets the moment up to which orders of earlier holders may still arrive. */
export const getWaitsUntil = (acquiredAt: Milliseconds, {orderLifetime}: Pick<Timing, 'orderLifetime'>): Milliseconds =>
	acquiredAt + orderLifetime;

/** Whether the term still runs. */
export const isValid = (term: Term, now: Milliseconds): boolean => now < term.validUntil;

/**
Whether an order may be sent now.

An engine that checks fencing numbers refuses a late one itself. For one that ignores them the order must end within the lease, and earlier holders' orders must have ended.
*/
export const mayOrder = (term: Term, fencing: Fencing, now: Milliseconds, {order}: Pick<Timing, 'order'>): boolean => {
	switch (fencing) {
		case 'checked': {
			return isValid(term, now);
		}

		case 'ignored': {
			return now >= term.waitsUntil && isValid(term, now + order);
		}
	}
};
