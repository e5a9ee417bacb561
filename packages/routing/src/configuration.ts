import type {CustomerId, Milliseconds, Rank} from '@gentianlift/types';
import type {Scaling} from './scaling.js';

/** Kind of a route's requests, which determines whether they may execute more than once; streaming ones only if the route is resumable. */
export type RouteKind = 'idempotent' | 'non-idempotent' | 'streaming';

/** A service that receives requests of a route, in proportion to its weight. */
export type Destination = {service: string; weight: number};

/** Matches requests by host name and path, and defines how they are forwarded to services. */
export type Route = {
	name: string;
	/** Host name in the `Host` header, without a port. */
	hostname: string;
	/** Prefix of the request's path; starts and ends with a slash. */
	pathPrefix: string;
	kind: RouteKind;
	/** Whether an interrupted stream may be resumed on another upstream. */
	isResumable: boolean;
	/** Whether requests need no API key. */
	isPublic: boolean;
	/** Whether requests list the parts of their prompt. */
	hasPrompt: boolean;
	/** Maximum time from a request's arrival to the end of its response. */
	timeout: Milliseconds;
	/** Target for the time from arrival to the response, or to the first event of a stream. */
	latencyTarget: Milliseconds;
	/** Target for the longest interval between two events of a stream, each of which may carry several tokens. */
	eventIntervalTarget?: Milliseconds;
	/** Longest silence that a caller of a stream accepts, also before the first event; it leaves after that. */
	maxSilence?: Milliseconds;
	/** Default priority of the requests; 0 is the highest. */
	rank: Rank;
	/** Maximum number of upstreams that may execute one request. */
	maxUpstreams: number;
	destinations: Destination[];
};

/** A service that is provided by several upstreams. */
export type Service = {
	name: string;
	/** Maximum number of connections to one upstream from all hosts together. */
	maxConnections: number;
	/** Present for model engines: concurrent requests and prompt cache of one upstream, and output tokens per streamed event. */
	engine?: {slots: number; cacheTokens: number; tokensPerEvent: number};
	/** Present if upstreams of the service may be ordered and given back. */
	scaling?: Scaling;
};

/** Limits on the size of callers' requests and on the time they take to arrive. */
export type RequestLimits = {
	maxHeaderBytes: number;
	maxBodyBytes: number;
	headerTimeout: Milliseconds;
	idleTimeout: Milliseconds;
};

/** A customer as configured: its name, its API keys, and a rank that, if present, overrides that of the route. */
export type ConfiguredCustomer = {name: CustomerId; keys: string[]; rank?: Rank};

/** A version of the operators' configuration. Version numbers only increase. */
export type RoutingConfiguration = {
	version: number;
	routes: Route[];
	services: Service[];
	limits: RequestLimits;
	/** Absent if requests need no API keys. */
	customers?: ConfiguredCustomer[];
};

/** Whether requests of a route are streams that another upstream may resume. */
export const isResumableStream = ({kind, isResumable}: Route): boolean => kind === 'streaming' && isResumable;

/** Returns whether a request of the route may execute again after an upstream may have executed it. */
export const mayExecuteAgain = (route: Route): boolean =>
	route.kind === 'idempotent' || (route.kind === 'streaming' && route.isResumable);
