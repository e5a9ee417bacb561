import type {Milliseconds} from '@gentianlift/types';

/** Spans of time by which the lease and its orders are governed. */
export type Timing = {
	/** Duration of the lease at the service. */
	lease: Milliseconds;
	/** Between renewals. */
	renewal: Milliseconds;
	/** How much earlier than the service the holder takes its lease as ended; covers clocks that run at different rates. */
	margin: Milliseconds;
	/** Between looks of the other hosts at whether the lease is free. */
	poll: Milliseconds;
	/** Longest time that the client of an engine spends on one order. */
	order: Milliseconds;
	/** Longest time for which an order of an earlier holder is taken to be still under way. */
	orderLifetime: Milliseconds;
	/** Between two plans. */
	plan: Milliseconds;
};

/** Spans of time in use. */
export const defaultTiming: Timing = {
	lease: 10_000,
	renewal: 3000,
	margin: 1000,
	poll: 2000,
	order: 3000,
	orderLifetime: 8000,
	plan: 1000,
};
