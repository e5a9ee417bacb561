import {createServer, type RequestListener, type Server} from 'node:http';
import {Server as SocketServer} from 'node:net';
import type {RequestLimits} from '@gentianlift/routing';
import type {Milliseconds} from '@gentianlift/types';
import {maxHeaderBytes} from './header-limits.js';

/** Time for which a connection is kept open beyond the configured idle timeout. */
const keepAliveMargin: Milliseconds = 2000;
/** Time for which an idle connection is kept open while no limits are configured. */
const defaultKeepAlive: Milliseconds = 60_000;
/** Interval at which Node checks connections for exceeded timeouts. */
const connectionsCheckInterval: Milliseconds = 1000;
/** Longest time to receive a request with its body. */
const requestTimeout: Milliseconds = 30_000;

/** Time to receive a head while no limits are configured. */
const defaultHeaderTimeout: Milliseconds = 3000;
/** Size of heads, in bytes, above which Node rejects a request if the configured limit is smaller. */
const minHeadBytes = 20 * 1024;
/** What a head may have beyond the configured size of its headers: the request line, and up to two blanks more for each field. */
const headMargin = 4096;

/** Creates an HTTP server for callers; it doesn't listen yet. */
export const createHttpServer = (listener: RequestListener): Server => {
	const server = createServer({
		maxHeaderSize: minHeadBytes,
		headersTimeout: defaultHeaderTimeout,
		connectionsCheckingInterval: connectionsCheckInterval,
		requestTimeout,
		noDelay: true,
		// Node would refuse a request without one by itself, close the connection, and yet hand over what follows on it.
		requireHostHeader: false,
	}, listener);
	server.keepAliveTimeout = defaultKeepAlive;
	return server;
};

/** Applies limits to the connections of a server, if they are configured. */
export const applyLimits = (server: Server, limits: RequestLimits | undefined): void => {
	if (limits === undefined) {
		return;
	}

	// Node reads it for each new connection.
	Object.assign(server, {maxHeaderSize: Math.min(maxHeaderBytes, Math.max(minHeadBytes, limits.maxHeaderBytes + headMargin))});
	server.headersTimeout = limits.headerTimeout;
	server.keepAliveTimeout = limits.idleTimeout + keepAliveMargin;
};

/** Refuses new connections and keeps all open ones; `close` of an HTTP server would reset idle ones on which a request is under way. */
export const closeListener = (server: Server): void => {
	if (server.listening) {
		SocketServer.prototype.close.call(server);
	}
};
