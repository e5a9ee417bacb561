import type {CustomerId, Milliseconds} from '@gentianlift/types';

/** Counts the requests that begin to run at this host. */
export type UsageCounter = {
	/** Counts a request of a customer that has begun to run; `age` is for how long that has been known, 0 if absent. */
	recordStart: (customer: CustomerId, age?: Milliseconds) => void;
};
