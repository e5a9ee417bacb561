import type {Clock} from '@gentianlift/clock';
import type {LoadTracker} from '@gentianlift/discovery';
import type {Logger} from '@gentianlift/logger';
import {
	addResult, chooseReservedUpstreams, createPromptCacheEstimate, defaultPrefillRate,
	getFailureRatio, getUpstreamKey, updateReservation,
	type Candidate, type Prompt, type PromptCacheEstimate, type RankTokens,
	type RouteKind, type Reservation, type Service, type Upstream, type UpstreamKey,
} from '@gentianlift/routing';
import type {Milliseconds} from '@gentianlift/types';
import type {FragileUpstreams} from '../statements/fragile-upstreams.js';
import type {UpstreamLimits} from '../statements/upstream-limits.js';
import type {UpstreamRests} from '../statements/upstream-rests.js';
import type {UpstreamAgent} from '../send/upstream-agent.js';
import {getMedian, getRelativeLatency} from './relative-latency.js';
import {isDoubted, updateDoubt} from './restart-doubt.js';
import {
	buildCandidates, getQueuedElsewhere, type CandidateQuery, type ObservedService,
} from './observed-service.js';
import {createPreferredUpstreamCache} from './preferred-upstreams.js';
import {measureRoom, type ServiceRoom} from './service-room.js';
import {createUpstreamState, type UpstreamState} from './upstream-state.js';

/** Tracks the state that this host observes for each incarnation of an upstream: connections, failures, latencies and cached prefixes. */
export type UpstreamTracker = {
	/** Returns the connection pool for requests of a route kind; non-idempotent requests get a pool that reuses only recently used connections. */
	getAgent: (upstream: Upstream, kind: RouteKind, connections: number) => UpstreamAgent;
	/** Observes the upstreams of a service for a dispatch pass that begins at `now`. */
	observe: (service: Service, upstreams: readonly Upstream[], now: Milliseconds) => ObservedService;
	/** Returns the upstreams that may run a call, unreachable or silent ones only if there are no others. */
	getCandidates: (query: Omit<CandidateQuery, 'hasPermit'>) => Candidate[];
	/** Measures the room that the upstreams of a service have now. */
	measureRoom: (service: ObservedService) => ServiceRoom;
	/** Returns the uncached prompt tokens queued at this host for an upstream, as last reported to the other hosts. */
	getReportedQueuedTokens: (upstream: UpstreamKey) => RankTokens;
	/** Records a time to first token and the number of tokens that were prefilled in it. */
	recordFirstToken: (upstream: Upstream, tokens: number, duration: Milliseconds) => void;
	/** Records that an upstream prefills a prompt and has its prefix cached afterwards. */
	recordPrefill: (upstream: UpstreamKey, prompt: Pick<Prompt, 'model' | 'parts'>) => void;
	/** Records that an upstream refuses connections or has crashed, and avoids it for a backoff period. */
	recordUnreachable: (upstream: Upstream, reason: string) => void;
	/** Records that another host has found an incarnation of an upstream crashed some time ago; it may start again before its new entry is known. */
	recordCrash: (key: UpstreamKey, age: Milliseconds) => void;
	/** Records that an upstream accepts connections, so that it is avoided no longer. */
	recordReachable: (upstream: Upstream) => void;
	/** Closes the idle connections to an upstream, which may have been lost. */
	closeIdleConnections: (upstream: Upstream) => void;
	/** Records that a request was sent; the returned handle reports its activity. */
	trackRequest: (upstream: Upstream) => RequestActivity;
	/** Returns the time since the upstream last sent a byte while requests of this host are in flight there; 0 if none are. */
	getSilence: (upstream: Upstream) => Milliseconds;
	/** Records the result of a request, and its duration if durations of its kind are comparable. */
	recordResult: (upstream: Upstream, hasFailed: boolean, duration: Milliseconds | undefined) => void;
	/** Returns the number of upstreams that get no requests for now, as they are in their backoff period or silent. */
	countAvoided: () => number;
	/** Closes the connections of an incarnation once their requests have ended, and ends the wait for them. */
	retire: (key: UpstreamKey) => void;
	/** Forgets an incarnation that was removed, and retires its connections. */
	remove: (key: UpstreamKey) => void;
};

/** Tells the tracker when bytes of an upstream's answer to a request arrive and when the request ends. */
export type RequestActivity = {recordBytes: () => void; end: () => void};

/** Dependencies of a tracker. */
export type UpstreamTrackerOptions = {
	clock: Clock;
	logger: Logger;
	loads: LoadTracker;
	/** Limits that upstreams have named. */
	limits: Pick<UpstreamLimits, 'isLimited' | 'hasPermit'>;
	/** Upstreams that bear few rejections. */
	fragileUpstreams: Pick<FragileUpstreams, 'hasRoom'>;
	/** Rests that upstreams have asked for. */
	rests: Pick<UpstreamRests, 'isResting'>;
	/** Returns the service that an upstream runs; undefined while the upstream isn't listed. */
	getService: (upstream: UpstreamKey) => Service | undefined;
};

/** Silence after which an upstream gets no new requests while others are available; requests that it runs already stay there. */
const avoidanceSilence: Milliseconds = 700;

/** First backoff period of an unreachable upstream; doubles with each failure in a row. */
const minBackoff: Milliseconds = 400;
const maxBackoff: Milliseconds = 3200;
/** Weight of the newest duration in the moving average. */
const durationWeight = 0.15;
/** Capacity of the prompt cache that is assumed where a service doesn't configure one. */
const defaultCacheTokens = 200_000;

/** Creates a tracker without state. */
export const createUpstreamTracker = ({
	clock, logger, loads, limits, rests, fragileUpstreams, getService,
}: UpstreamTrackerOptions): UpstreamTracker => {
	const states = new Map<UpstreamKey, UpstreamState>();
	const reservations = new Map<string, Reservation>();
	const preferredUpstreams = createPreferredUpstreamCache();

	const getState = (key: UpstreamKey): UpstreamState => {
		const existing = states.get(key);
		if (existing !== undefined) {
			return existing;
		}

		const state = createUpstreamState(clock.monotonic());
		states.set(key, state);
		return state;
	};

	/** Returns the state of an upstream; undefined if that was removed, as it may have been while a request was in flight there. */
	const findState = (upstream: Upstream): UpstreamState | undefined => {
		const key = getUpstreamKey(upstream);
		return getService(key) === undefined ? states.get(key) : getState(key);
	};

	const getStateSilence = (state: UpstreamState | undefined, now: Milliseconds): Milliseconds =>
		state === undefined || state.openRequests === 0 ? 0 : now - state.lastByteAt;

	/** Whether an upstream is in its backoff period or silent. */
	const isAvoided = (state: UpstreamState | undefined, now: Milliseconds): boolean =>
		(state?.avoidedUntil ?? 0) > now || getStateSilence(state, now) > avoidanceSilence;

	/** Returns the estimate of an upstream's prompt cache, with its capacity once that is known. */
	const getCache = (key: UpstreamKey): PromptCacheEstimate => {
		const state = getState(key);
		state.cache ??= createPromptCacheEstimate(defaultCacheTokens);
		const service = state.hasCacheCapacity ? undefined : getService(key);
		if (service !== undefined) {
			state.cache.setCapacity(service.engine?.cacheTokens ?? defaultCacheTokens);
			state.hasCacheCapacity = true;
		}

		return state.cache;
	};

	/** Whether an upstream takes only some of this host's requests for now, or none. */
	const isRestricted = (upstream: UpstreamKey): boolean => limits.isLimited(upstream) || rests.isResting(upstream);

	/** Returns the upstreams that are reserved for latency-sensitive streams. */
	const getReserved = (service: string, upstreams: readonly Upstream[], now: Milliseconds): ReadonlySet<UpstreamKey> => {
		const streams = upstreams.reduce((sum, upstream) => sum + loads.getTotalLoad(getUpstreamKey(upstream)).latencySensitiveStreams, 0);
		const reservation = updateReservation(reservations.get(service), streams, now);
		reservations.set(service, reservation);
		return chooseReservedUpstreams(upstreams.filter(upstream => !isRestricted(getUpstreamKey(upstream))), reservation.count);
	};

	/** Whether this host may send a request to an upstream now, by what that has said of itself. */
	const hasPermit = (upstream: UpstreamKey): boolean =>
		limits.hasPermit(upstream) && !rests.isResting(upstream) && fragileUpstreams.hasRoom(upstream);

	const retire = (key: UpstreamKey): void => {
		const state = states.get(key);
		state?.agent.retire();
		state?.nonIdempotentAgent.retire();
	};

	return {
		getReportedQueuedTokens: loads.getOwnQueuedTokens,
		recordFirstToken(upstream, tokens, duration) {
			findState(upstream)?.prefillRate.addSample(tokens, duration);
		},
		getAgent(upstream, kind, connections) {
			const state = getState(getUpstreamKey(upstream));
			const agent = kind === 'non-idempotent' ? state.nonIdempotentAgent : state.agent;
			agent.maxSockets = connections;
			return agent;
		},
		observe(service, upstreams, now) {
			const reserved = getReserved(service.name, upstreams, now);
			const states = upstreams.map(upstream => getState(getUpstreamKey(upstream)));
			const reachableStates = states.filter(state => !isAvoided(state, now));
			const usableStates = reachableStates.length === 0 ? states : reachableStates;
			const medianDuration = getMedian(usableStates.map(({meanDuration}) => meanDuration).filter(duration => duration !== undefined));
			const all = upstreams.map((upstream, index) => {
				const key = getUpstreamKey(upstream);
				const state = states[index]!;
				return {
					upstream,
					key,
					cache: getCache(key),
					queuedElsewhere: getQueuedElsewhere(key, loads),
					prefillRate: state.prefillRate.get(),
					isReserved: reserved.has(key),
					isDoubted: isDoubted(state.doubt, now),
					failureRatio: getFailureRatio(state.failures, now),
					relativeLatency: getRelativeLatency(state.meanDuration, medianDuration),
				};
			});
			const reachable = reachableStates.length === all.length ? all : all.filter((_, index) => !isAvoided(states[index], now));
			return {
				now,
				all,
				reachable,
				preferred: preferredUpstreams.get(service.name, reachable),
				prefillRate: getMedian(usableStates.map(({prefillRate}) => prefillRate.get())) ?? defaultPrefillRate,
			};
		},
		getCandidates: query => buildCandidates({...query, hasPermit}, loads),
		measureRoom: service => measureRoom(service, {loads, hasPermit}),
		recordPrefill(upstream, prompt) {
			getCache(upstream).add(prompt);
		},
		recordUnreachable(upstream, reason) {
			const state = findState(upstream);
			if (state === undefined) {
				return;
			}

			const now = clock.monotonic();
			const backoff = Math.min(maxBackoff, minBackoff * (2 ** state.connectFailures));
			state.connectFailures += 1;
			state.avoidedUntil = now + backoff;
			state.doubt = {kind: 'lost', since: now};
			logger.info('upstream-avoided', {upstream: getUpstreamKey(upstream), reason, for: backoff});
		},
		recordCrash(key, age) {
			if (getService(key) !== undefined) {
				getState(key).doubt = {kind: 'lost', since: clock.monotonic() - age};
			}
		},
		recordReachable(upstream) {
			const state = findState(upstream);
			if (state !== undefined) {
				state.connectFailures = 0;
				state.avoidedUntil = 0;
			}
		},
		closeIdleConnections(upstream) {
			const state = states.get(getUpstreamKey(upstream));
			state?.agent.closeIdle();
			state?.nonIdempotentAgent.closeIdle();
		},
		trackRequest(upstream) {
			const state = getState(getUpstreamKey(upstream));
			state.lastByteAt = state.openRequests === 0 ? clock.monotonic() : state.lastByteAt;
			state.openRequests += 1;
			const startedAt = clock.monotonic();
			let hasEnded = false;
			return {
				recordBytes() {
					state.lastByteAt = clock.monotonic();
					state.doubt = updateDoubt(state.doubt, startedAt, clock.monotonic());
				},
				end() {
					state.openRequests -= hasEnded ? 0 : 1;
					hasEnded = true;
				},
			};
		},
		getSilence: upstream => getStateSilence(states.get(getUpstreamKey(upstream)), clock.monotonic()),
		recordResult(upstream, hasFailed, duration) {
			const state = findState(upstream);
			if (state === undefined) {
				return;
			}

			state.connectFailures = 0;
			state.failures = addResult(state.failures, hasFailed, clock.monotonic());
			if (duration !== undefined) {
				state.meanDuration = state.meanDuration === undefined ? duration : (state.meanDuration * (1 - durationWeight)) + (duration * durationWeight);
			}
		},
		countAvoided() {
			const now = clock.monotonic();
			return [...states.values()].filter(state => isAvoided(state, now)).length;
		},
		retire,
		remove(key) {
			retire(key);
			states.delete(key);
			loads.removeUpstream(key);
		},
	};
};
