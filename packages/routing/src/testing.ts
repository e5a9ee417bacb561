import type {Candidate, UpstreamLoad} from './choose-upstream.js';
import type {Route, RoutingConfiguration} from './configuration.js';
import {noRankTokens} from './rank-tokens.js';
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
	latencyTarget: 500,
	rank: 1,
	maxUpstreams: 2,
	destinations: [{service: 's', weight: 1}],
	...changes,
});

/** Builds a configuration for tests. */
export const buildConfiguration = (changes: Partial<RoutingConfiguration> = {}): RoutingConfiguration => ({
	version: 1,
	routes: [buildRoute()],
	services: [{name: 's', maxConnections: 100}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeout: 3000, idleTimeout: 15_000,
	},
	...changes,
});

/** Builds an upstream for tests. */
export const buildUpstream = (changes: Partial<Upstream> = {}): Upstream => ({
	id: 'u1', service: 's', address: '127.0.0.1:1', zone: 'a', isLeaving: false, slots: 8, startedAt: 1, softwareVersion: 'v1', ...changes,
});

/** Builds an upstream's load for tests. */
export const buildLoad = (changes: Partial<UpstreamLoad> = {}): UpstreamLoad => ({
	running: 0, unreadTokens: 0, latencySensitiveStreams: 0, queuedTokens: noRankTokens, progressAt: 0, ...changes,
});

/** Builds a candidate for tests. */
export const buildCandidate = (changes: Partial<Candidate> = {}): Candidate => ({
	upstream: buildUpstream(),
	load: buildLoad(),
	backlog: 0,
	queuedElsewhere: noRankTokens,
	queueDelay: 0,
	uncachedTokens: 1000,
	rereadTokens: 0,
	prefillRate: 40,
	isReserved: false,
	failureRatio: 0,
	relativeLatency: 1,
	...changes,
});
