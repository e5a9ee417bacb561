import type {ServerResponse} from 'node:http';
import type {Milliseconds} from '@gentianlift/types';

/** Counts the requests of callers that are in flight, so that a host knows when it may stop. */
export type InFlightRequests = {
	/** Counts a request; call the returned function when its handler has ended. `answer` answers it if that can't be waited for. */
	begin: (response: ServerResponse, answer: () => void) => () => void;
	/** Returns the number of requests whose handlers run. */
	getCount: () => number;
	/** Returns the number of requests whose handlers run or whose answers aren't written to their connections yet. */
	getOpenCount: () => number;
	/** Answers the requests whose handlers run, as the process is about to end. */
	answerAll: () => void;
	/** Aborted when an operator forces the host to stop, or the process is about to end. */
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
	/** What answers each request whose handler runs. */
	const handled = new Map<ServerResponse, () => void>();
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
		begin(response, answer) {
			handled.set(response, answer);
			return () => {
				if (handled.delete(response) && !hasLeft(response)) {
					keepUntilWritten(response);
				}
			};
		},
		getCount: () => handled.size,
		getOpenCount: () => handled.size + [...unwritten].filter(response => !hasLeft(response)).length,
		answerAll() {
			for (const answer of handled.values()) {
				answer();
			}
		},
		abortController: new AbortController(),
	};
};
