/** Requests of callers that are under way, so that a host knows when it may stop. */
export type OpenRequests = {
	/** Counts a request; the result is called when it has ended. */
	open: () => () => void;
	getCount: () => number;
	/** Aborted when an operator forces the host to stop. */
	cut: AbortController;
};

/** Creates an empty count. */
export const createOpenRequests = (): OpenRequests => {
	let count = 0;
	return {
		open() {
			count++;
			let isOpen = true;
			return () => {
				count -= isOpen ? 1 : 0;
				isOpen = false;
			};
		},
		getCount: () => count,
		cut: new AbortController(),
	};
};
