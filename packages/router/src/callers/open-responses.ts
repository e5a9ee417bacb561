import type {ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';

/** Responses of each connection of callers that aren't written yet, in the order of their requests. */
export type OpenResponses = {
	add: (response: ServerResponse) => void;
	/** Lets a response that isn't added yet close its connection, in place of those before it. */
	closeAfter: (response: ServerResponse) => void;
	/** Whether a connection takes no more requests, as the caller was told that it is closed, or what followed was malformed. */
	isClosing: (socket: Duplex) => boolean;
	/** Whether a request of the connection that has arrived whole is without its answer. */
	hasUnanswered: (socket: Duplex) => boolean;
	/** Closes a connection, without reading more of it, once all its responses are written. */
	closeAfterAnswers: (socket: Duplex) => void;
};

const announcesClose = (response: ServerResponse): boolean => response.headersSent && response.getHeader('connection') === 'close';

/** Creates a record without responses. */
export const createOpenResponses = (): OpenResponses => {
	const responsesBySocket = new WeakMap<Duplex, Set<ServerResponse>>();
	const closing = new WeakSet<Duplex>();
	const getResponses = (socket: Duplex): Set<ServerResponse> => responsesBySocket.get(socket) ?? new Set();

	const remove = (response: ServerResponse, socket: Duplex, responses: Set<ServerResponse>): void => {
		responses.delete(response);
		if (announcesClose(response)) {
			closing.add(socket);
		} else if (responses.size === 0 && closing.has(socket)) {
			socket.end();
		}
	};

	return {
		add(response) {
			const {socket} = response.req;
			const responses = getResponses(socket);
			responsesBySocket.set(socket, responses.add(response));
			response.once('finish', () => {
				remove(response, socket, responses);
			});
		},
		closeAfter(response) {
			for (const earlier of getResponses(response.req.socket)) {
				if (!earlier.headersSent) {
					earlier.removeHeader('connection');
				}
			}

			response.setHeader('connection', 'close');
		},
		isClosing: socket => closing.has(socket) || [...getResponses(socket)].some(response => announcesClose(response)),
		hasUnanswered: socket => [...getResponses(socket)].some(({req}) => req.complete),
		closeAfterAnswers(socket) {
			closing.add(socket);
			socket.pause();
		},
	};
};
