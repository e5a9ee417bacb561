import {createServer, type RequestListener, type Server} from 'node:http';
import type {Milliseconds} from '@gentianlift/types';

/** Longest time for a request to an endpoint to arrive whole; its connection is closed then. */
const requestTimeout: Milliseconds = 5000;
/** Longest head of a request, in bytes. */
const maxHeadBytes = 4096;
/** Most connections of an endpoint; more are closed at once. */
const maxConnections = 512;
/** Interval at which the connections are checked for requests that are late. */
const checkInterval: Milliseconds = 2000;

/** Creates the server of an endpoint, whose requests have no bodies: what is sent as one is dropped, and neither it nor a head may go on for long. */
export const createEndpoint = (answer: RequestListener): Server => {
	const server = createServer({
		requestTimeout, headersTimeout: requestTimeout, maxHeaderSize: maxHeadBytes, connectionsCheckingInterval: checkInterval,
	}, answer);
	server.maxConnections = maxConnections;
	return server;
};
