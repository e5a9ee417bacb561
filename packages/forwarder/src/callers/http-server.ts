import {createServer, type RequestListener, type Server} from 'node:http';
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

/** Creates an HTTP server for callers; it doesn't listen yet. */
export const createHttpServer = (listener: RequestListener): Server => {
	const server = createServer({
		maxHeaderSize: maxHeaderBytes, connectionsCheckingInterval: connectionsCheckInterval, requestTimeout, noDelay: true,
	}, listener);
	server.keepAliveTimeout = defaultKeepAlive;
	return server;
};

/** Applies configured limits to the connections of a server. */
export const applyLimits = (server: Server, limits: RequestLimits): void => {
	server.headersTimeout = limits.headerTimeout;
	server.keepAliveTimeout = limits.idleTimeout + keepAliveMargin;
};
