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
	/** Returns the number of those whose answers can still be written, in part or whole. */
	countPendingAnswers: () => number;
	/** Returns those whose answers haven't begun. */
	getUnanswered: () => ReceivedRequest[];
	/** Cuts the answers that aren't written completely. */
	cut: () => void;
};

/** Whether the answer to a request can still be written, in part or whole. */
const isPending = ({request, response}: ReceivedRequest): boolean => !response.writableFinished && !response.destroyed && !request.socket.destroyed;

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
			if (!isPending(received)) {
				remove(received);
				return;
			}

			const {request: {socket}, response} = received;
			const onClose = (): void => {
				response.off('close', onClose);
				socket.off('close', onClose);
				remove(received);
			};

			response.once('close', onClose);
			// A response that waits for those before it on its connection isn't closed with that.
			socket.once('close', onClose);
		},
		count: () => requests.size,
		countWhole: () => whole.size,
		countPendingAnswers: () => [...requests].filter(received => isPending(received)).length,
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
