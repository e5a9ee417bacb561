import type {OriginQuery} from '@gentianlift/discovery';
import {
	isResumableStream, streamLifetime, type Route, type StreamOrigin,
} from '@gentianlift/routing';
import type {Milliseconds} from '@gentianlift/types';
import type {ForwarderContext} from '../context.js';
import type {ErrorAnswer} from '../callers/error-answer.js';
import type {CallerHead} from '../protocol.js';

/** Whether a request resumes a stream, and which upstreams can run it. */
export type Resumption
	/** The request begins anew. */
	= | {kind: 'none'}
		| {kind: 'resumed'; origin: StreamOrigin}
		/** Nothing has run, and the stream can't be resumed now. */
		| {kind: 'refused'; error: ErrorAnswer};

/** Time in which a report of the stream's beginning may still arrive. */
const unknownRetryDelay: Milliseconds = 300;

/** Whether a request continues after events that its caller has received. */
const isResumption = ({lastEventId}: CallerHead, route: Route): boolean =>
	isResumableStream(route) && lastEventId !== undefined && lastEventId > 0;

/** Returns the only version that can have begun a stream: while one version of the only service has served for as long as streams may be resumed, whatever age the asking host assumes. */
const inferOrigin = ({services, maxAge}: OriginQuery, {versions}: ForwarderContext, now: Milliseconds): StreamOrigin | undefined => {
	const [service] = services;
	const since = now - Math.max(streamLifetime, maxAge);
	if (service === undefined || services.length > 1 || !versions.covers(since)) {
		return undefined;
	}

	const [softwareVersion, ...others] = versions.getVersions(service, since);
	const isCertain = softwareVersion !== undefined && softwareVersion !== '' && others.length === 0;
	return isCertain ? {service, softwareVersion} : undefined;
};

const getKnownOrigin = ({request}: OriginQuery, {streamOrigins, clock}: ForwarderContext): StreamOrigin | undefined =>
	request === undefined ? undefined : streamOrigins.get(request, clock.monotonic());

/** Returns the origin of a stream as far as this host knows it; it is inferred only if no version can have served unnoticed until now, whatever other hosts confirm. */
export const findStreamOrigin = async (query: OriginQuery, context: ForwarderContext): Promise<StreamOrigin | undefined> => {
	const {clock, freshness} = context;
	const known = getKnownOrigin(query, context);
	if (known !== undefined || inferOrigin(query, context, clock.monotonic()) === undefined) {
		return known;
	}

	const isConfirmed = await freshness.confirm();
	return getKnownOrigin(query, context) ?? (isConfirmed ? inferOrigin(query, context, clock.monotonic()) : undefined);
};

/** Returns how the search for a stream's origin ended, as logged. */
const getOutcome = (origin: StreamOrigin | undefined, services: readonly string[]): 'known' | 'unknown' | 'other-service' => {
	if (origin === undefined) {
		return 'unknown';
	}

	return services.includes(origin.service) ? 'known' : 'other-service';
};

/** Creates the function that decides where a request's stream can be resumed; it asks other hosts about a stream that this one doesn't know. */
export const createResumptionResolver = (context: ForwarderContext): ((head: CallerHead, route: Route) => Promise<Resumption>) => {
	const {clock, logger, metrics, streamOrigins} = context;

	const locate = async (query: OriginQuery): Promise<{origin: StreamOrigin | undefined; source: 'own' | 'host'}> => {
		const known = await findStreamOrigin(query, context);
		if (known !== undefined) {
			return {origin: known, source: 'own'};
		}

		const told = await context.askForStreamOrigin(query);
		return told === undefined ? {origin: getKnownOrigin(query, context), source: 'own'} : {origin: told, source: 'host'};
	};

	return async (head, route) => {
		if (!isResumption(head, route)) {
			return {kind: 'none'};
		}

		const services = route.destinations.map(({service}) => service);
		const {origin, source} = await locate({request: head.resumedRequestId, services, maxAge: streamLifetime});
		const outcome = getOutcome(origin, services);
		metrics.count('resumptions_total', {outcome, source});
		logger.info('resume-requested', {
			request: head.callerRequestId, resumes: head.resumedRequestId, after: head.lastEventId, service: origin?.service, software: origin?.softwareVersion, outcome, source,
		});
		if (origin === undefined) {
			return {kind: 'refused', error: {kind: 'stream-unknown', retryAfter: unknownRetryDelay}};
		}

		if (head.resumedRequestId !== undefined) {
			streamOrigins.add({request: head.resumedRequestId, ...origin}, clock.monotonic());
		}

		return outcome === 'known' ? {kind: 'resumed', origin} : {kind: 'refused', error: {kind: 'stream-version-gone'}};
	};
};
