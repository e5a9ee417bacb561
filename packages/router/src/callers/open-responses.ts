import type {ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';

/** Responses of each connection of callers that aren't written yet. */
export type OpenResponses = {
	add: (response: ServerResponse) => void;
	/** Whether a request of the connection that has arrived whole is without its answer. */
	hasUnanswered: (socket: Duplex) => boolean;
	/** Closes a connection, without reading more of it, once all its responses are written. */
	closeAfterAnswers: (socket: Duplex) => void;
};

/** Creates a record without responses. */
export const createOpenResponses = (): OpenResponses => {
	const responsesBySocket = new WeakMap<Duplex, Set<ServerResponse>>();
	const closing = new WeakSet<Duplex>();
	const getResponses = (socket: Duplex): Set<ServerResponse> => responsesBySocket.get(socket) ?? new Set();

	return {
		add(response) {
			const {socket} = response.req;
			const responses = getResponses(socket);
			responsesBySocket.set(socket, responses.add(response));
			response.once('finish', () => {
				responses.delete(response);
				if (responses.size === 0 && closing.has(socket)) {
					socket.end();
				}
			});
		},
		hasUnanswered: socket => [...getResponses(socket)].some(({req}) => req.complete),
		closeAfterAnswers(socket) {
			closing.add(socket);
			socket.pause();
		},
	};
};
