import {cutResponse} from '@gentianlift/errors';
import type {ReceivedRequest} from './received-request.js';

/** Requests that a host is handling, or whose answers aren't written completely. */
export type OpenRequests = {
	add: (received: ReceivedRequest) => void;
	/** Marks a request as received completely. */
	markWhole: (received: ReceivedRequest) => void;
	/** Ends the handling of a request: it is open until its answer is written completely or its connection is lost. */
	end: (received: ReceivedRequest) => void;
	count: () => number;
	/** Returns the number of those that were received completely. */
	countWhole: () => number;
	/** Returns those whose answers haven't begun. */
	getUnanswered: () => ReceivedRequest[];
	/** Cuts the answers that aren't written completely. */
	cut: () => void;
};

/** Creates it without requests. */
export const createOpenRequests = (): OpenRequests => {
	const requests = new Set<ReceivedRequest>();
	const whole = new Set<ReceivedRequest>();

	const remove = (received: ReceivedRequest): void => {
		requests.delete(received);
		whole.delete(received);
	};

	return {
		add(received) {
			requests.add(received);
		},
		markWhole(received) {
			whole.add(received);
		},
		end(received) {
			const {response} = received;
			if (response.writableFinished || response.destroyed) {
				remove(received);
				return;
			}

			response.once('close', () => {
				remove(received);
			});
		},
		count: () => requests.size,
		countWhole: () => whole.size,
		getUnanswered: () => [...requests].filter(({response}) => !response.headersSent && !response.destroyed),
		cut() {
			for (const {response} of requests) {
				if (!response.writableFinished && !response.destroyed) {
					cutResponse(response);
				}
			}
		},
	};
};
