import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Logger} from '@gentianlift/logger';
import type {Metrics} from '@gentianlift/metrics';

/** Dependencies of `limitConnections`. */
export type ConnectionLimitOptions = {
	/** Most connections that the server may have open. */
	limit: number;
	/** Name of the server in the log. */
	name: string;
	logger: Logger;
	metrics: Metrics;
};

/** A request with its response. */
type Exchange = {request: IncomingMessage; response: ServerResponse};

/** A connection. */
type Connection = {
	/** Its requests that have no complete answers, in order of arrival. */
	exchanges: Exchange[];
	/** Whether a request on it was answered. */
	hasServed: boolean;
	/** Called when its use has changed; shared by all of its requests. */
	onChange: () => void;
};

/** What a connection is open for, from what is given up first to what is never given up. */
const uses = {
	/** Its first request, or the body of one, hasn't come whole. */
	unfinished: 0,
	/** The last answer was written, and the caller may still receive it. */
	ending: 1,
	/** An answer that is written and that the caller hasn't read. */
	unread: 2,
	/** Requests were answered, and its caller may send another one at any moment. */
	idle: 3,
	/** A whole request without its answer. */
	answering: 4,
} as const;

/** Value of `uses`. */
type Use = typeof uses[keyof typeof uses];

/** Returns the use of a connection by the requests on it without complete answers. */
const getUse = (socket: Socket, {exchanges, hasServed}: Connection): Use => {
	if (!socket.writable) {
		return uses.ending;
	}

	const [first] = exchanges;
	if (first === undefined) {
		return hasServed ? uses.idle : uses.unfinished;
	}

	// Answers come in the order of the requests, of which only the last may be incomplete.
	if (!first.request.complete) {
		return uses.unfinished;
	}

	return first.response.writableEnded ? uses.unread : uses.answering;
};

/**
 * Keeps the connections of a server within a limit, so that callers who hold many leave descriptors for others and for the
 * upstreams. Beyond it the one with the least use is closed, of several the one that has had it longest; connections with a
 * whole request that awaits its answer are kept, and a new connection is closed if there are only such.
 */
export const limitConnections = (server: Server, {limit, name, logger, metrics}: ConnectionLimitOptions): void => {
	/** Connections in the order in which their use changed last. */
	const connections = new Map<Socket, Connection>();
	let isExceeded = false;

	/** Forgets requests that are answered, and puts the connection last. */
	const update = (socket: Socket): void => {
		const connection = connections.get(socket);
		if (connection === undefined) {
			return;
		}

		while (connection.exchanges[0]?.response.closed === true) {
			connection.exchanges.shift();
			connection.hasServed = true;
		}

		connections.delete(socket);
		connections.set(socket, connection);
	};

	/** Returns the connection to close; the newest one only if all others have requests that await their answers. */
	const findLeastUsed = (newest: Socket): Socket => {
		let found = newest;
		let least: Use = uses.answering;
		for (const [socket, connection] of connections) {
			const use = socket === newest ? uses.answering : getUse(socket, connection);
			if (use < least) {
				found = socket;
				least = use;
			}

			if (least === uses.unfinished) {
				break;
			}
		}

		return found;
	};

	/** Logs when the limit is reached, not for each connection that is closed. */
	const reportExceeded = (): void => {
		if (!isExceeded) {
			isExceeded = true;
			logger.warn('connection-limit-reached', {listener: name, limit});
		}
	};

	server.prependListener('connection', (socket: Socket) => {
		connections.set(socket, {
			exchanges: [],
			hasServed: false,
			onChange() {
				update(socket);
			},
		});
		socket.once('close', () => {
			connections.delete(socket);
			isExceeded &&= connections.size >= limit;
		});
		if (connections.size > limit) {
			reportExceeded();
			metrics.count('connections_given_up_total', {reason: 'connection-limit'});
			const closed = findLeastUsed(socket);
			connections.delete(closed);
			closed.destroy();
		}
	});
	server.on('request', (request: IncomingMessage, response: ServerResponse) => {
		const connection = connections.get(request.socket);
		if (connection !== undefined) {
			connection.exchanges.push({request, response});
			request.once('end', connection.onChange);
			response.once('finish', connection.onChange);
			response.once('close', connection.onChange);
		}
	});
};
