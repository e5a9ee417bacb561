import {cutResponse} from '@gentianlift/errors';
import type {ReceivedRequest} from './received-request.js';

/** Requests that a host is handling, or whose answers aren't written completely. */
export type OpenRequests = {
	add: (received: ReceivedRequest) => void;
	/** Ends the handling of a request: it is open until its answer is written completely or its connection is lost. */
	end: (received: ReceivedRequest) => void;
	count: () => number;
	/** Returns those whose answers haven't begun. */
	getUnanswered: () => ReceivedRequest[];
	/** Cuts the answers that aren't written completely. */
	cut: () => void;
};

/** Creates it without requests. */
export const createOpenRequests = (): OpenRequests => {
	const requests = new Set<ReceivedRequest>();
	return {
		add(received) {
			requests.add(received);
		},
		end(received) {
			const {response} = received;
			if (response.writableFinished || response.destroyed) {
				requests.delete(received);
				return;
			}

			response.once('close', () => {
				requests.delete(received);
			});
		},
		count: () => requests.size,
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
