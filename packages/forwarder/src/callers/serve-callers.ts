import type {RequestListener, Server} from 'node:http';
import type {Socket} from 'node:net';
import type {ErrorKind} from '@gentianlift/errors';
import type {Route} from '@gentianlift/routing';
import type {Milliseconds} from '@gentianlift/types';
import {createCall} from '../call.js';
import type {Forwarder} from '../forward.js';
import {decodeForwardedCall} from '../links/forwarded-call.js';
import type {CallerHead} from '../protocol.js';
import type {HeldBody} from '../memory/body-budget.js';
import type {ForwarderContext} from '../context.js';
import {createResumptionResolver, type Resumption} from '../resume/resumption.js';
import {getForwardedResumption, getForwardedService, type ReceivedRequest} from './received-request.js';
import {answerFailure, answerPartial, writeErrorAnswer} from './error-answer.js';
import {findRefusal} from './find-refusal.js';
import {dropHeaders, exceedsHeaderLimits, lacksHost} from './header-limits.js';
import {createAdmission, maxOpenRequests, type Admission} from './admission.js';
import {createOpenRequests} from './open-requests.js';
import {applyLimits, closeListener, createHttpServer} from './http-server.js';
import {getDeclaredBytes, getMaxBodyBytes, receiveRequestBody} from './receive-request-body.js';
import {createRefusal, stoppingAnswer} from './refusal.js';
import {createRequestTurns} from './request-turns.js';
import {createCallerConnections, type ConnectionError} from './caller-connections.js';

/** HTTP server for callers. */
export type CallerServer = {
	server: Server;
	/** Answers a request that another host forwards. */
	answerForwardedCall: RequestListener;
	/** Handles an error of a connection on which other hosts forward requests. */
	handleConnectionError: (error: ConnectionError, socket: Socket) => void;
	/** Returns the number of requests that are being handled or whose answers aren't written completely, including attempts that go on after the caller disconnected. */
	countOpenRequests: () => number;
	/** Returns the number of answers that can still be written or are on their way; requests that wait for their turn are left out. */
	countPendingAnswers: () => number;
	/** Returns the number of these that wait until the requests before them on their connections are answered. */
	countReadAhead: () => number;
	/** Accepts no request from now on, as this host ends: those that still come are refused as not run. */
	endAdmission: () => void;
	/** Refuses new connections from now on, as the process is about to end. */
	closeListener: () => void;
	/** Returns the number of connections of which the last answer was written, and that their callers haven't closed. A process that ends before may reset them. */
	countClosingConnections: () => number;
	/** Answers the requests whose answers haven't begun, as this host stops. */
	answerRequests: () => void;
	/** Cuts the answers that have begun, as this host stops. */
	cutRequests: () => void;
	/** Logs the calls that are open, as the process is about to end over them. */
	reportOpenCalls: () => void;
	/** Returns the time since the last request arrived; undefined if none has. */
	getTimeSinceRequest: () => Milliseconds | undefined;
};

/** Dependencies of the server for callers. */
export type CallerServerOptions = {
	context: ForwarderContext;
	forwarder: Forwarder;
};

/** A request that has arrived completely, with what it was admitted to. */
type AdmittedRequest = {admission: Extract<Admission, {kind: 'admitted'}>; bytes: Uint8Array};

/** Creates the server; it doesn't listen yet. */
export const createCallerServer = ({context, forwarder}: CallerServerOptions): CallerServer => {
	const {
		clock, view, protocol, logger, metrics,
	} = context;
	const openRequests = createOpenRequests();
	const refuse = createRefusal(context, response => connections.closesAfter(response));
	const resolveResumption = createResumptionResolver(context);
	const admit = createAdmission(context, openRequests.countWhole);

	const readHead = ({request, forwarded}: ReceivedRequest): CallerHead => {
		const head = protocol.readCallerHead(request.rawHeaders);
		return forwarded?.resumption === undefined ? head : {...head, lastEventId: forwarded.resumption.lastEventId};
	};

	/** Returns the origin of the stream that a request resumes, as the host that has forwarded it says or as it is known in the fleet. */
	const resolveOrigin = async ({forwarded}: ReceivedRequest, head: CallerHead, route: Route): Promise<Resumption> =>
		forwarded?.resumption === undefined
			? resolveResumption(head, route)
			: getForwardedResumption(forwarded.service, forwarded.resumption.softwareVersion, route);

	/** Whether a request still waits for an answer; logs why not. */
	const isWaiting = ({response}: ReceivedRequest, {callerRequestId}: CallerHead): boolean => {
		if (!response.destroyed && !response.writableEnded) {
			return true;
		}

		logger.info('call-broken', {request: callerRequestId, reason: response.writableEnded ? 'answered-before' : 'caller-gone'});
		return false;
	};

	/** Receives a request, and admits or refuses it; returns undefined unless it is admitted. Its body is counted by `held`, which is undefined if there is no room for it. */
	const receive = async (received: ReceivedRequest, head: CallerHead, held: HeldBody | undefined): Promise<AdmittedRequest | undefined> => {
		const {request, response} = received;
		const limits = view.getRoutes()?.configuration.limits;
		const pendingBody = receiveRequestBody(request, getMaxBodyBytes(view), held);
		const admission = await admit(received, head);
		const body = await pendingBody;
		if (body.kind === 'whole') {
			openRequests.markWhole(received);
		}

		if (body.kind === 'broken') {
			logger.info('call-broken', {request: head.callerRequestId, reason: body.reason});
			response.destroy();
			return undefined;
		}

		if (!isWaiting(received, head)) {
			return undefined;
		}

		const refusal = findRefusal({
			body, admission, limits, isFull: openRequests.countWhole() > maxOpenRequests,
		});
		if (refusal !== undefined || body.kind !== 'whole' || admission.kind !== 'admitted') {
			refuse(received, head, refusal ?? {kind: 'internal'});
			return undefined;
		}

		return {admission, bytes: body.bytes};
	};

	const handle = async (received: ReceivedRequest, head: CallerHead, held: HeldBody | undefined): Promise<void> => {
		const {
			request, response, target, forwarded, arrivedAt,
		} = received;
		const admitted = await receive(received, head, held);
		if (admitted === undefined) {
			return;
		}

		const {route, customer, table, service} = admitted.admission;
		const resumption = await resolveOrigin(received, head, route);
		if (!isWaiting(received, head)) {
			return;
		}

		if (resumption.kind === 'refused') {
			refuse(received, head, resumption.error);
			return;
		}

		const origin = resumption.kind === 'resumed' ? resumption.origin : undefined;
		await forwarder.forward(createCall({
			method: request.method ?? 'GET',
			target,
			head,
			body: admitted.bytes,
			route,
			service: origin?.service ?? getForwardedService(forwarded, route) ?? service,
			forwarded,
			customer,
			response,
			isClosing: () => connections.closesAfter(response),
			streamVersion: origin?.softwareVersion,
			version: table.configuration.version,
			arrivedAt,
		}));
	};

	/** Handles a request; its body is counted until its call has ended. */
	const handleWithBody = async (received: ReceivedRequest): Promise<void> => {
		const head = readHead(received);
		const bytes = getDeclaredBytes(received.request);
		const held = bytes > getMaxBodyBytes(view) ? undefined : context.bodies.open({callerRequestId: head.callerRequestId, bytes});
		try {
			await handle(received, head, held);
		} finally {
			held?.end();
		}
	};

	const connections = createCallerConnections({
		clock, logger, metrics, isStopping: context.isStopping,
		answerPartial(response, kind) {
			answerPartial(response, protocol, kind);
		},
	});

	const applyConfiguredLimits = (): void => {
		applyLimits(server, view.getRoutes()?.configuration.limits);
	};

	let isAdmitting = true;
	const handleSafely = async (received: ReceivedRequest): Promise<void> => {
		openRequests.add(received);
		try {
			applyConfiguredLimits();
			if (isAdmitting) {
				await handleWithBody(received);
			} else {
				refuse(received, readHead(received), stoppingAnswer);
			}
		} catch (error) {
			logger.error('call-failed', {target: received.request.url, reason: (error as Error).stack ?? String(error)});
			answerFailure(received, protocol);
		} finally {
			openRequests.end(received);
		}
	};

	const turns = createRequestTurns({
		logger, metrics, maxWaitingBytes: context.maxWaitingBytes, handle: handleSafely,
	});

	/** Refuses a request by its head, none of which is held afterwards; what follows on its connection is dropped. */
	const refuseHead = (received: ReceivedRequest, kind: ErrorKind): void => {
		connections.endAfter(received.request);
		refuse(received, readHead(received), {kind});
		dropHeaders(received.request);
	};

	let lastRequestAt: Milliseconds | undefined;
	const accept = (received: ReceivedRequest): void => {
		const {request, response} = received;
		lastRequestAt = clock.monotonic();
		if (!connections.accept(request, response)) {
			return;
		}

		if (exceedsHeaderLimits(request.rawHeaders, view.getRoutes()?.configuration.limits)) {
			refuseHead(received, 'headers-too-large');
		} else if (lacksHost(request)) {
			refuseHead(received, 'bad-request');
		} else {
			turns.add(received);
		}
	};

	const server = createHttpServer((request, response) => {
		accept({
			request, response, target: request.url ?? '/', arrivedAt: clock.monotonic(), forwarded: undefined,
		});
	});
	// Before Node's own listener, which goes by them.
	server.prependListener('connection', applyConfiguredLimits);
	// Without a listener, Node destroys the connection over the requests before this one.
	server.on('connect', (_, socket) => {
		connections.refuseConnect(socket as Socket);
	});
	server.on('clientError', (error: ConnectionError, socket) => {
		connections.handleError(error, socket as Socket);
	});
	return {
		server,
		answerForwardedCall(request, response) {
			const decoded = decodeForwardedCall(request.url ?? '/');
			if (decoded === undefined) {
				logger.warn('forwarded-call-unreadable', {target: request.url});
				writeErrorAnswer({
					response, protocol, caller: undefined, isClosing: true,
				}, {kind: 'bad-request'});
				return;
			}

			accept({
				request, response, ...decoded, arrivedAt: clock.monotonic() - decoded.forwarded.age,
			});
		},
		handleConnectionError: connections.handleError,
		countOpenRequests: () => openRequests.count() + turns.countWaiting(),
		countPendingAnswers: () => openRequests.countPendingAnswers() + connections.countDelivering(),
		countReadAhead: turns.countWaiting,
		endAdmission() {
			isAdmitting = false;
		},
		closeListener() {
			closeListener(server);
		},
		countClosingConnections: connections.countClosing,
		answerRequests() {
			forwarder.answerCalls();
			for (const received of turns.takeWaiting()) {
				openRequests.add(received);
				openRequests.end(received);
			}

			for (const received of openRequests.getUnanswered()) {
				refuse(received, readHead(received), stoppingAnswer);
			}
		},
		cutRequests() {
			forwarder.cutCalls();
			openRequests.cut();
		},
		reportOpenCalls: forwarder.reportOpenCalls,
		getTimeSinceRequest: () => lastRequestAt === undefined ? undefined : clock.monotonic() - lastRequestAt,
	};
};
