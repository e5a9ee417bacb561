import type {Candidate, UpstreamLoad} from './choose-upstream.js';
import type {Route, RoutingConfiguration} from './configuration.js';
import type {Upstream} from './upstream.js';

/** Builds a route for tests. */
export const buildRoute = (changes: Partial<Route> = {}): Route => ({
	name: 'r',
	hostname: 'a.example',
	pathPrefix: '/a/',
	kind: 'idempotent',
	isResumable: false,
	isPublic: false,
	hasPrompt: false,
	timeout: 1000,
	target: 500,
	rank: 1,
	mostUpstreams: 2,
	destinations: [{service: 's', weight: 1}],
	...changes,
});

/** Builds a configuration for tests. */
export const buildConfiguration = (changes: Partial<RoutingConfiguration> = {}): RoutingConfiguration => ({
	version: 1,
	routes: [buildRoute()],
	services: [{name: 's', mostConnections: 100}],
	limits: {
		mostHeaderBytes: 16_384, mostBodyBytes: 1_000_000, headerTimeout: 3000, idleTimeout: 15_000,
	},
	...changes,
});

/** Builds an upstream for tests. */
export const buildUpstream = (changes: Partial<Upstream> = {}): Upstream => ({
	id: 'u1', service: 's', address: '127.0.0.1:1', zone: 'a', isLeaving: false, slots: 8, startedAt: 1, ...changes,
});

/** Builds an upstream's load for tests. */
export const buildLoad = (changes: Partial<UpstreamLoad> = {}): UpstreamLoad => ({
	running: 0, unreadTokens: 0, delicate: 0, awaitedTokens: 0, progressAt: 0, ...changes,
});

/** Builds a candidate for tests. */
export const buildCandidate = (changes: Partial<Candidate> = {}): Candidate => ({
	upstream: buildUpstream(),
	load: buildLoad(),
	backlog: 0,
	awaited: 0,
	uncachedTokens: 1000,
	rereadTokens: 0,
	readingSpeed: 40,
	isQuiet: false,
	failureShare: 0,
	slowness: 1,
	...changes,
});
