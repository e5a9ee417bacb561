import type {Milliseconds} from '@gentianlift/types';

/** Durations, intervals and timeouts of the lease, the plans and the orders. */
export type Timing = {
	/** Duration of the lease in the key-value service. */
	leaseDuration: Milliseconds;
	/** Interval between renewals of the lease. */
	renewalInterval: Milliseconds;
	/** Time by which the holder regards its lease as ended before the service does; covers clocks that run at different rates. */
	validityMargin: Milliseconds;
	/** Interval at which the other hosts check whether the lease is free. */
	pollInterval: Milliseconds;
	/** Timeout of sending an order to an engine. */
	orderTimeout: Milliseconds;
	/** Maximum time for which an order of an earlier holder may still be in flight. */
	maxOrderLifetime: Milliseconds;
	/** Interval between plans. */
	planInterval: Milliseconds;
};

/** Default timing. */
export const defaultTiming: Timing = {
	leaseDuration: 10_000,
	renewalInterval: 3000,
	validityMargin: 1000,
	pollInterval: 2000,
	orderTimeout: 3000,
	maxOrderLifetime: 8000,
	planInterval: 1000,
};
