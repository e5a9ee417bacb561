import type {Socket} from 'node:net';
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
	/** Requests that are removed with their connections, if not before. */
	const byConnection = new Map<Socket, Set<ReceivedRequest>>();

	const remove = (received: ReceivedRequest): void => {
		requests.delete(received);
		whole.delete(received);
		byConnection.get(received.request.socket)?.delete(received);
	};

	/** Removes a request when its connection closes: a response that waits for those before it isn't closed with that. */
	const removeWithConnection = (received: ReceivedRequest): void => {
		const {socket} = received.request;
		const watched = byConnection.get(socket);
		if (watched !== undefined) {
			watched.add(received);
			return;
		}

		byConnection.set(socket, new Set([received]));
		socket.once('close', () => {
			for (const other of byConnection.get(socket) ?? []) {
				remove(other);
			}

			byConnection.delete(socket);
		});
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

			received.response.once('close', () => {
				remove(received);
			});
			removeWithConnection(received);
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
