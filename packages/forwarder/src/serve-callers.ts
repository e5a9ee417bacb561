import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import {
	drawDestination, findCaller, findRoute, type CallerLimits, type KeyHolder, type Route, type RouteTable,
} from '@gentianlift/routing';
import {errorTable, type ErrorKind} from '@gentianlift/errors';
import type {Milliseconds} from '@gentianlift/types';
import {createCall} from './call.js';
import type {Forwarder} from './forward.js';
import {writeErrorAnswer, type ErrorAnswer} from './error-answer.js';
import type {CallerHead} from './protocol.js';
import {readBody, type Body} from './read-body.js';
import type {ForwarderContext} from './context.js';

/** The listener of callers. */
export type CallerServer = {
	server: Server;
	/** Number of requests without a final answer. */
	countOpenRequests: () => number;
};

/** What the listener works with. */
export type CallerServerOptions = {
	context: ForwarderContext;
	forwarder: Forwarder;
	/** Reads the newest state of the fleet, where it can be reached. */
	refresh: () => Promise<void>;
};

/** Where a request goes, or why it is refused. */
type Admission
	= | {kind: 'admitted'; table: RouteTable; route: Route; service: string; customer: KeyHolder | undefined}
		| {kind: 'refused'; error: Extract<ErrorKind, 'not-configured' | 'host-overloaded' | 'host-stopping' | 'unknown-path' | 'wrong-key' | 'missing-key'>};

/** Size of headers above which a connection is refused before the configured limit is looked at. */
const maxHeaderBytes = 64 * 1024;
/** Time beyond the configured idle limit for which a connection is kept. */
const keepAliveMargin: Milliseconds = 2000;
const connectionsCheckInterval: Milliseconds = 1000;
/** Longest time for a request with its body to arrive. */
const requestTimeout: Milliseconds = 30_000;
/** Requests without a final answer; each takes two connections and its body's memory. */
const maxOpenRequests = 1500;
/** When to come back, to a host without a configuration or to another host. */
const retryAfterDelays: Partial<Record<ErrorKind, Milliseconds>> = {'not-configured': 500, 'host-overloaded': 200, 'host-stopping': 20};
/** Longest wait for the newest state before a refusal that it might lift. */
const refreshTimeout: Milliseconds = 400;
/** Age up to which the state counts as the newest. */
const maxFreshAge: Milliseconds = 200;
/** Age of other hosts' word up to which it confirms the state. */
const maxConfirmationAge: Milliseconds = 600;

const clientErrorStatuses: Record<string, string> = {
	HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
	ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

const answerClientError = (error: Error & {code?: string}, socket: Socket): void => {
	if (socket.writable && error.code !== 'ECONNRESET') {
		socket.end(`HTTP/1.1 ${clientErrorStatuses[error.code ?? ''] ?? '400 Bad Request'}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
	} else {
		socket.destroy();
	}
};

const getHeaderBytes = (headers: readonly string[]): number => headers.reduce((sum, text) => sum + text.length + 2, 0);

/** Creates the listener; it listens when told to. */
export const createCallerServer = ({context, forwarder, refresh}: CallerServerOptions): CallerServer => {
	const {clock, view, protocol, logger, metrics} = context;
	let openRequests = 0;
	let pendingRefresh: Promise<void> | undefined;
	let refreshedAt = Number.NEGATIVE_INFINITY;

	const admit = (head: CallerHead, target: string): Admission => {
		if (openRequests > maxOpenRequests) {
			return {kind: 'refused', error: 'host-overloaded'};
		}

		const table = view.getRoutes();
		if (table === undefined) {
			return {kind: 'refused', error: 'not-configured'};
		}

		const route = findRoute(table, head.hostname, target);
		if (route === undefined) {
			return {kind: 'refused', error: 'unknown-path'};
		}

		if (!context.canAccept(route.timeout)) {
			return {kind: 'refused', error: 'host-stopping'};
		}

		const caller = findCaller(table, route, head.key);
		if (caller.kind === 'unknown') {
			return {kind: 'refused', error: head.key === undefined ? 'missing-key' : 'wrong-key'};
		}

		const destination = drawDestination(route.destinations, context.random);
		const customer = caller.kind === 'customer' ? caller.customer : undefined;
		return destination === undefined
			? {kind: 'refused', error: 'unknown-path'}
			: {
				kind: 'admitted', table, route, service: destination.service, customer,
			};
	};

	/** Whether the state was confirmed lately, by the key-value service or by other hosts that know no newer one. */
	const isFresh = (): boolean => {
		const now = clock.monotonic();
		const isConfirmed = context.reports.getNewestRevision() <= view.getRevision() && context.reports.getShortestSilence() < maxConfirmationAge;
		return isConfirmed || now - refreshedAt < maxFreshAge || view.getSilence(now) < maxFreshAge;
	};

	const refreshIfStale = async (): Promise<void> => {
		if (isFresh()) {
			return;
		}

		pendingRefresh ??= (async () => {
			await refresh();
			refreshedAt = clock.monotonic();
			pendingRefresh = undefined;
		})();
		await Promise.race([pendingRefresh, clock.sleep(refreshTimeout)]);
	};

	/** A refusal is final for the caller, so that the newest configuration is asked for before it. */
	const admitWithRefresh = async (head: CallerHead, target: string): Promise<Admission> => {
		const first = admit(head, target);
		if (first.kind === 'admitted' || errorTable[first.error].status === 503) {
			return first;
		}

		await refreshIfStale();
		return admit(head, target);
	};

	const refuse = (request: IncomingMessage, response: ServerResponse, head: CallerHead, own: ErrorAnswer): void => {
		metrics.count('refusals_total', {reason: own.kind});
		logger.info('call-refused', {
			request: head.attempt, reason: own.kind, target: request.url, version: view.getRoutes()?.configuration.version, revision: view.getRevision(),
			age: Math.round(view.getSilence(clock.monotonic())),
		});
		writeErrorAnswer({
			response, protocol, caller: head, isClosing: context.isStopping() || own.kind === 'body-too-large',
		}, own);
	};

	const getRefusal = (body: Body, admission: Admission, headers: readonly string[], limits: CallerLimits | undefined): ErrorAnswer | undefined => {
		if (body.kind === 'too-large') {
			return {kind: 'body-too-large'};
		}

		if (getHeaderBytes(headers) > (limits?.mostHeaderBytes ?? maxHeaderBytes)) {
			return {kind: 'headers-too-large'};
		}

		if (admission.kind === 'admitted') {
			return undefined;
		}

		const retryAfter = retryAfterDelays[admission.error];
		return {kind: admission.error, ...(retryAfter !== undefined && {retryAfter})};
	};

	const applyLimits = (server: Server, limits: CallerLimits): void => {
		server.headersTimeout = limits.headerTimeout;
		server.keepAliveTimeout = limits.idleTimeout + keepAliveMargin;
	};

	const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		const arrivedAt = clock.monotonic();
		const head = protocol.readCallerHead(request.rawHeaders);
		const target = request.url ?? '/';
		const limits = view.getRoutes()?.configuration.limits;
		const pendingBody = readBody({message: request, hasFailed: () => false}, limits?.mostBodyBytes ?? Number.POSITIVE_INFINITY);
		const admission = await admitWithRefresh(head, target);
		const body = await pendingBody;
		if (body.kind === 'broken') {
			logger.info('call-broken', {request: head.attempt, reason: body.reason});
			response.destroy();
			return;
		}

		const refusal = getRefusal(body, admission, request.rawHeaders, limits);
		if (refusal !== undefined || body.kind !== 'whole' || admission.kind !== 'admitted') {
			refuse(request, response, head, refusal ?? {kind: 'internal'});
			return;
		}

		const {route, service, customer, table} = admission;
		await forwarder.forward(createCall({
			method: request.method ?? 'GET',
			target,
			head,
			body: body.bytes,
			route,
			service,
			customer,
			response,
			version: table.configuration.version,
			arrivedAt,
		}));
	};

	const handleSafely = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		openRequests += 1;
		response.on('error', error => {
			logger.debug('caller-write-failed', {reason: error.message});
		});
		try {
			const limits = view.getRoutes()?.configuration.limits;
			if (limits !== undefined) {
				applyLimits(server, limits);
			}

			await handle(request, response);
		} catch (error) {
			logger.error('call-failed', {target: request.url, reason: (error as Error).stack ?? String(error)});
			response.destroy();
		} finally {
			openRequests -= 1;
		}
	};

	const server = createServer({
		maxHeaderSize: maxHeaderBytes, connectionsCheckingInterval: connectionsCheckInterval, requestTimeout, noDelay: true,
	}, (request, response) => {
		void handleSafely(request, response);
	});
	server.keepAliveTimeout = 60_000;
	server.on('clientError', (error: Error & {code?: string}, socket) => {
		answerClientError(error, socket as Socket);
	});
	return {server, countOpenRequests: () => openRequests};
};
