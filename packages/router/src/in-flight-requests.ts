import type {ServerResponse} from 'node:http';
import type {Milliseconds} from '@gentianlift/types';

/** Counts the requests of callers that are in flight, so that a host knows when it may stop. */
export type InFlightRequests = {
	/** Counts a request; call the returned function when its handler has ended. */
	begin: (response: ServerResponse) => () => void;
	/** Returns the number of requests whose handlers run. */
	getCount: () => number;
	/** Returns the number of requests whose handlers run or whose answers aren't written to their connections yet. */
	getOpenCount: () => number;
	/** Aborted when an operator forces the host to stop. */
	abortController: AbortController;
};

/** Options of the counter. */
export type InFlightRequestsOptions = {
	/** Time without a byte taken after which the connection of a caller that doesn't read the rest of its answer is closed. */
	unreadTimeout: Milliseconds;
	/** Called before such a connection is closed. */
	onUnread: (response: ServerResponse) => void;
};

/** Whether a response is with the operating system, or its connection is gone. */
const hasLeft = (response: ServerResponse): boolean => response.writableFinished || response.req.socket.destroyed;

/** Creates a counter without requests. */
export const createInFlightRequests = ({unreadTimeout, onUnread}: InFlightRequestsOptions): InFlightRequests => {
	let count = 0;
	/** Responses whose handlers have ended before they were written. */
	const unwritten = new Set<ServerResponse>();

	const keepUntilWritten = (response: ServerResponse): void => {
		const {socket} = response.req;
		const remove = (): void => {
			unwritten.delete(response);
			response.off('finish', remove);
			socket.off('close', remove);
		};

		unwritten.add(response);
		response.once('finish', remove);
		socket.once('close', remove);
		response.setTimeout(unreadTimeout, () => {
			onUnread(response);
			response.destroy();
		});
	};

	return {
		begin(response) {
			count++;
			let isHandled = false;
			return () => {
				if (isHandled) {
					return;
				}

				isHandled = true;
				count--;
				if (!hasLeft(response)) {
					keepUntilWritten(response);
				}
			};
		},
		getCount: () => count,
		getOpenCount: () => count + [...unwritten].filter(response => !hasLeft(response)).length,
		abortController: new AbortController(),
	};
};
