/** Counts the requests of callers that are in flight, so that a host knows when it may stop. */
export type InFlightRequests = {
	/** Counts a request; call the returned function when it has ended. */
	begin: () => () => void;
	getCount: () => number;
	/** Aborted when an operator forces the host to stop. */
	abortController: AbortController;
};

/** Creates a counter without requests. */
export const createInFlightRequests = (): InFlightRequests => {
	let count = 0;
	return {
		begin() {
			count++;
			let isOpen = true;
			return () => {
				count -= isOpen ? 1 : 0;
				isOpen = false;
			};
		},
		getCount: () => count,
		abortController: new AbortController(),
	};
};
