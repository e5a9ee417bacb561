import type {CustomerId} from '@gentianlift/types';

/** Requests of each customer by window. */
export type WindowCounts = Map<number, Map<CustomerId, number>>;

/** Returns the counts of a window, which are added if there are none. */
const getWindow = (counts: WindowCounts, window: number): Map<CustomerId, number> => {
	const known = counts.get(window);
	if (known !== undefined) {
		return known;
	}

	const added = new Map<CustomerId, number>();
	counts.set(window, added);
	return added;
};

/** Counts a number of requests more. */
export const addCount = (counts: WindowCounts, window: number, customer: CustomerId, count: number): void => {
	const ofWindow = getWindow(counts, window);
	ofWindow.set(customer, (ofWindow.get(customer) ?? 0) + count);
};

/** Sets a count that only grows, unless a higher one is known; returns whether it is higher. */
export const raiseCount = (counts: WindowCounts, window: number, customer: CustomerId, count: number): boolean => {
	const ofWindow = getWindow(counts, window);
	const isHigher = count > (ofWindow.get(customer) ?? 0);
	if (isHigher) {
		ofWindow.set(customer, count);
	}

	return isHigher;
};

/** Forgets the windows before one. */
export const dropWindowsBefore = (counts: WindowCounts, first: number): void => {
	for (const window of counts.keys()) {
		if (window < first) {
			counts.delete(window);
		}
	}
};
