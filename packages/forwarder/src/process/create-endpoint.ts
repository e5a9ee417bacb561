import {
	createServer, type IncomingMessage, type RequestListener, type Server, type ServerResponse,
} from 'node:http';
import type {Logger} from '@gentianlift/logger';
import type {Metrics} from '@gentianlift/metrics';
import type {Milliseconds} from '@gentianlift/types';
import {limitConnections} from '../callers/connection-limit.js';
import {spreadReads} from '../callers/spread-reads.js';
import {getDescriptorShares} from './descriptor-shares.js';

/** Options of an endpoint. */
export type EndpointOptions = {
	/** Name of the endpoint in the log. */
	name: string;
	/** Open descriptors that the process may have. */
	descriptors: number;
	logger: Logger;
	metrics: Metrics;
};

/** Longest time for a request to an endpoint to arrive whole; its connection is closed then. */
const requestTimeout: Milliseconds = 5000;
/** Longest head of a request, in bytes. */
const maxHeadBytes = 4096;
/** Interval at which the connections are checked for requests that are late. */
const checkInterval: Milliseconds = 2000;

const hasBody = ({headers}: IncomingMessage): boolean => headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;

/** Closes the connection of a request once it is answered, so that no body is read. The close may reset the connection, and its caller lose the answer. */
const closeAfterAnswer = (request: IncomingMessage, response: ServerResponse): void => {
	response.shouldKeepAlive = false;
	response.once('finish', () => {
		request.socket.destroy();
	});
};

/** Creates the server of an endpoint, whose requests have no bodies: one that comes with a body is answered, and its connection closed. */
export const createEndpoint = (answer: RequestListener, {name, descriptors, logger, metrics}: EndpointOptions): Server => {
	const server = createServer({
		requestTimeout, headersTimeout: requestTimeout, maxHeaderSize: maxHeadBytes, connectionsCheckingInterval: checkInterval,
	}, (request, response) => {
		if (hasBody(request)) {
			closeAfterAnswer(request, response);
		}

		answer(request, response);
	});
	spreadReads(server);
	limitConnections(server, {
		limit: getDescriptorShares(descriptors).endpoint, name, logger, metrics,
	});
	return server;
};
