import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Duplex} from 'node:stream';
import {
	createFailure, errorTable, getErrorBody, type ErrorKind,
} from '@gentianlift/errors';
import type {Metrics} from '@gentianlift/metrics';
import type {Settings} from '@gentianlift/types';
import {createOpenResponses, type OpenResponses} from './open-responses.js';

/** Options of the server for callers. */
export type CallerServerOptions = {
	settings: Settings;
	metrics: Metrics;
	/** Whether the host closes callers' connections after each response, so that their next request goes to another host. */
	isDraining: () => boolean;
	/** Handles one request of a caller. */
	handle: (request: IncomingMessage, response: ServerResponse) => void;
};

/** Interval at which the server checks connections for its timeouts. */
const timeoutCheckMilliseconds = 1000;

const errorKindsByCode: Record<string, ErrorKind> = {
	HPE_HEADER_OVERFLOW: 'headers-too-large',
	ERR_HTTP_REQUEST_TIMEOUT: 'body-timeout',
};

/**
Writes the error response to the socket, because a request that can't be parsed has no response object.

While an earlier request of the connection is without its answer, nothing is written, as the caller would take it for that answer; the connection is closed after it.
*/
const answerParserError = (error: NodeJS.ErrnoException, socket: Duplex, metrics: Metrics, openResponses: OpenResponses): void => {
	if (error.code === 'ECONNRESET' || !socket.writable) {
		socket.destroy();
		return;
	}

	const kind = errorKindsByCode[error.code ?? ''] ?? 'bad-request';
	metrics.count('refusals_total', {reason: kind});
	if (openResponses.hasUnanswered(socket)) {
		openResponses.closeAfterAnswers(socket);
		return;
	}

	const body = JSON.stringify(getErrorBody(createFailure(kind), ''));
	socket.end([
		`HTTP/1.1 ${errorTable[kind].status} Refused`,
		'content-type: application/json',
		`content-length: ${body.length}`,
		'x-ran: not-run',
		`x-error-kind: ${kind}`,
		'connection: close',
		'',
		body,
	].join('\r\n'));
};

/** Creates the HTTP server for callers with the limits of the settings. It isn't listening yet. */
export const createCallerServer = ({settings, metrics, isDraining, handle}: CallerServerOptions): Server => {
	const {callerLimits} = settings;
	const openResponses = createOpenResponses();
	const server = createServer({
		maxHeaderSize: callerLimits.headerBytes,
		headersTimeout: callerLimits.headerTimeout,
		requestTimeout: callerLimits.headerTimeout + callerLimits.bodyTimeout,
		connectionsCheckingInterval: timeoutCheckMilliseconds,
		keepAlive: true,
		noDelay: true,
	}, (request, response) => {
		if (openResponses.isClosing(request.socket)) {
			// The caller was told that nothing more is taken from this connection, and nothing more can be answered on it.
			metrics.count('refusals_total', {reason: 'connection-closing'});
			return;
		}

		if (isDraining()) {
			openResponses.closeAfter(response);
		}

		openResponses.add(response);
		handle(request, response);
	});
	server.maxConnections = callerLimits.connections;
	server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
		answerParserError(error, socket, metrics, openResponses);
	});
	server.on('drop', () => {
		metrics.count('refusals_total', {reason: 'connections'});
	});
	return server;
};
