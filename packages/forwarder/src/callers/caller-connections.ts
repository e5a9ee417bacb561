import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '@gentianlift/clock';
import type {ErrorKind} from '@gentianlift/errors';
import type {Logger} from '@gentianlift/logger';
import type {Metrics} from '@gentianlift/metrics';
import {createClosingConnections} from './closing-connections.js';
import {dropHeaders} from './header-limits.js';

/** An error of Node's HTTP server for a connection. */
export type ConnectionError = Error & {code?: string};

/** Connections on which requests arrive. One whose bytes are no request, or whose request comes too late, is given up: each request that it has delivered keeps its own answer, and none that follows is handled. */
export type CallerConnections = {
	/** Takes a request that has arrived; returns false if its connection was given up, so that it must not be handled. */
	accept: (request: IncomingMessage, response: ServerResponse) => boolean;
	/** Handles no request that follows a refused one on its connection, which is closed after the answers. */
	endAfter: (request: IncomingMessage) => void;
	/** Whether the connection is to be closed after an answer: this host stops, and no request behind waits for its own. */
	closesAfter: (response: ServerResponse) => boolean;
	/** Handles an error of a connection (`clientError` of the server). */
	handleError: (error: ConnectionError, socket: Socket) => void;
	/** Handles a CONNECT request, which this server doesn't take, as other bytes that are no request. */
	refuseConnect: (socket: Socket) => void;
	/** Returns the number of connections of which the last answer was written, and that their callers haven't closed. */
	countClosing: () => number;
	/** Returns the number of these whose callers may still be receiving the last answer. */
	countDelivering: () => number;
};

/** Dependencies of `createCallerConnections`. */
export type CallerConnectionsOptions = {
	clock: Clock;
	logger: Logger;
	metrics: Metrics;
	isStopping: () => boolean;
	/** Answers a request of which only a part has arrived, unless its answer has begun, and closes the connection. */
	answerPartial: (response: ServerResponse, kind: ErrorKind) => void;
};

/** What is known of a connection. */
type ConnectionState = {
	/** Number of requests of which the head has arrived. */
	requests: number;
	/** The last of them, with its response; undefined once it has arrived completely and is answered. */
	last: {request: IncomingMessage; response: ServerResponse} | undefined;
	/** Responses that aren't written completely. */
	pending: Set<ServerResponse>;
	isGivenUp: boolean;
};

/** Code of the error of a request that has not arrived in time. */
const timeoutCode = 'ERR_HTTP_REQUEST_TIMEOUT';

/** Error kinds and status lines for errors of Node's HTTP server, by code. */
const answersByCode: Partial<Record<string, {kind: ErrorKind; statusLine: string}>> = {
	HPE_HEADER_OVERFLOW: {kind: 'headers-too-large', statusLine: '431 Request Header Fields Too Large'},
	[timeoutCode]: {kind: 'body-timeout', statusLine: '408 Request Timeout'},
};
const malformedAnswer = {kind: 'bad-request', statusLine: '400 Bad Request'} as const;

/** Whether the last request of a connection has arrived in part. */
const isPartial = ({last}: ConnectionState): boolean => last !== undefined && !last.request.complete;

/** Creates the connections of a server. */
export const createCallerConnections = ({
	clock, logger, metrics, isStopping, answerPartial,
}: CallerConnectionsOptions): CallerConnections => {
	const states = new WeakMap<Socket, ConnectionState>();
	const closing = createClosingConnections({clock, metrics});

	const getState = (socket: Socket): ConnectionState => {
		const existing = states.get(socket);
		if (existing !== undefined) {
			return existing;
		}

		const state: ConnectionState = {
			requests: 0, last: undefined, pending: new Set(), isGivenUp: false,
		};
		states.set(socket, state);
		// Node's HTTP server calls it after an answer that announces the close, and would close the connection at once.
		socket.destroySoon = () => {
			closing.end(socket);
		};

		socket.once('close', () => {
			// Node detaches a request that is answered before it has arrived, and says nothing of its end.
			state.last?.request.destroy();
		});
		return state;
	};

	/** Ends a connection as soon as the requests that it has delivered are answered. */
	const endAfterAnswers = (socket: Socket, {pending}: ConnectionState): void => {
		const last = [...pending].at(-1);
		if (last !== undefined) {
			// The others must not announce the close: Node closes a connection after the first answer that does.
			last.shouldKeepAlive = false;
		}

		for (const response of pending) {
			response.once('close', () => {
				if (pending.size === 0) {
					closing.end(socket);
				}
			});
		}
	};

	const giveUp = (socket: Socket, state: ConnectionState, code: string | undefined): void => {
		const {kind, statusLine} = answersByCode[code ?? ''] ?? malformedAnswer;
		state.isGivenUp = true;
		metrics.count('connections_given_up_total', {reason: kind});
		logger.info('connection-given-up', {
			reason: kind, code, requests: state.requests, unanswered: state.pending.size, partial: isPartial(state),
		});
		if (state.pending.size === 0) {
			socket.write(`HTTP/1.1 ${statusLine}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
			closing.end(socket);
			return;
		}

		endAfterAnswers(socket, state);
		if (state.last !== undefined && isPartial(state)) {
			answerPartial(state.last.response, kind);
		}
	};

	/** Gives a connection up unless what was missing of its request has arrived: after a suspension of the process, timers run before the bytes that wait are read. */
	const giveUpUnlessArrived = (socket: Socket, state: ConnectionState): void => {
		const {requests} = state;
		const wasPartial = isPartial(state);
		setImmediate(() => {
			const hasArrived = state.requests > requests || (wasPartial && !isPartial(state));
			if (!hasArrived && !state.isGivenUp && !socket.destroyed) {
				giveUp(socket, state, timeoutCode);
			}
		});
	};

	return {
		accept(request, response) {
			const state = getState(request.socket);
			if (state.isGivenUp || !request.socket.writable) {
				logger.info('request-dropped', {target: request.url, reason: 'connection-given-up'});
				dropHeaders(request);
				request.resume();
				return false;
			}

			state.requests += 1;
			state.last = {request, response};
			state.pending.add(response);
			response.on('error', error => {
				logger.debug('caller-write-failed', {reason: error.message});
			});
			response.once('close', () => {
				state.pending.delete(response);
				if (state.last?.response === response && request.complete) {
					// A connection that is kept open holds no memory of the requests that were answered on it.
					state.last = undefined;
				}
			});
			return true;
		},
		endAfter({socket}) {
			const state = getState(socket);
			state.isGivenUp = true;
			endAfterAnswers(socket, state);
		},
		closesAfter: response => isStopping() && getState(response.req.socket).last?.response === response,
		refuseConnect(socket) {
			const state = getState(socket);
			if (!state.isGivenUp) {
				giveUp(socket, state, 'CONNECT');
			}
		},
		countClosing: closing.count,
		countDelivering: closing.countDelivering,
		handleError(error, socket) {
			const state = getState(socket);
			if (!socket.writable || error.code === 'ECONNRESET') {
				socket.destroy();
				return;
			}

			if (state.isGivenUp) {
				return;
			}

			if (error.code === timeoutCode) {
				giveUpUnlessArrived(socket, state);
			} else {
				giveUp(socket, state, error.code);
			}
		},
	};
};
