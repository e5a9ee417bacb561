import type {CustomerId, Milliseconds, Rank} from '@gentianlift/types';

/** How the requests of a route may be repeated: a streaming one only where its route is resumable. */
export type RouteKind = 'idempotent' | 'non-idempotent' | 'streaming';

/** A service that a route's requests go to, with its share of them. */
export type Destination = {service: string; weight: number};

/** Which requests go to which services, and how. */
export type Route = {
	name: string;
	/** Host name that callers put into the `Host` header, without a port. */
	hostname: string;
	/** Beginning of the path; starts and ends with a slash. */
	pathPrefix: string;
	kind: RouteKind;
	/** Whether a broken stream may go on at another upstream. */
	isResumable: boolean;
	/** Whether requests need no key. */
	isPublic: boolean;
	/** Whether requests name the parts of their prompt, which upstreams cache. */
	hasPrompt: boolean;
	/** Longest time from a request's arrival to the end of its answer. */
	timeout: Milliseconds;
	/** Time within which an answer, or the first event of a stream, is of full value. */
	target: Milliseconds;
	/** Longest pause between events for which a stream is of full value. */
	pauseTarget?: Milliseconds;
	rank: Rank;
	/** Upstreams on which one request may run. */
	mostUpstreams: number;
	destinations: Destination[];
};

/** A service with several upstreams. */
export type Service = {
	name: string;
	/** Connections that one upstream takes from all hosts together. */
	mostConnections: number;
	/** Present for model engines. */
	engine?: {slots: number; cacheTokens: number; tokensForEvent: number};
};

/** What callers may send, and how slowly. */
export type CallerLimits = {
	mostHeaderBytes: number;
	mostBodyBytes: number;
	headerTimeout: Milliseconds;
	idleTimeout: Milliseconds;
};

/** Who may send requests. */
export type KeyHolder = {name: CustomerId; keys: string[]; rank?: Rank};

/** One version of what the operators want. Versions only rise. */
export type RoutingConfiguration = {
	version: number;
	routes: Route[];
	services: Service[];
	limits: CallerLimits;
	/** Absent where requests carry no keys. */
	customers?: KeyHolder[];
};

/** Tells whether a request of the route may run more than once. */
export const isRepeatable = (route: Route): boolean =>
	route.kind === 'idempotent' || (route.kind === 'streaming' && route.isResumable);
