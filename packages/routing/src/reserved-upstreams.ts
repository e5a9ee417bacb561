import type {Milliseconds} from '@gentianlift/types';
import type {Route, Service} from './configuration.js';
import {getHash} from './hash.js';
import {getUpstreamKey, type Upstream, type UpstreamKey} from './upstream.js';

/** Prompt tokens that an engine prefills in one step, beside decoding the running streams. */
const prefillTokensPerStep = 2048;
/** Duration in milliseconds of an engine step without prefill. */
const decodeStepDuration = 8;
/** Fraction of the target for the interval between events that is reserved for network delay. */
const networkMargin = 0.05;
/** Number of latency-sensitive streams per reserved upstream. */
const streamsPerReservedUpstream = 12;
/** Maximum fraction of a service's upstreams that may be reserved. */
const maxReservedFraction = 0.25;

/**
 * Returns whether the prefill of a long prompt makes concurrent streams of the route exceed their target for the
 * interval between events. The time to the first event plays no part. An event takes several engine steps, and each of them also prefills a chunk of the prompt.
 */
export const isLatencySensitiveRoute = (route: Route, service: Service | undefined, prefillRate: number): boolean => {
	if (route.eventIntervalTarget === undefined || service?.engine === undefined) {
		return false;
	}

	const eventInterval = service.engine.tokensPerEvent * ((prefillTokensPerStep / prefillRate) + decodeStepDuration);
	return eventInterval > route.eventIntervalTarget * (1 - networkMargin);
};

/** Number of a service's upstreams that are reserved for latency-sensitive streams, and when that many were last needed or the number was last reduced. */
export type Reservation = {count: number; heldSince: Milliseconds};

/** Time for which an upstream that is no longer needed stays reserved; reserving it again forces other upstreams to repeat the prefill of its prompts. */
const reservationHold: Milliseconds = 10_000;

/** Updates the number of reserved upstreams: it rises at once and falls by one at a time. */
export const updateReservation = (previous: Reservation | undefined, latencySensitiveStreams: number, now: Milliseconds): Reservation => {
	const needed = Math.ceil(latencySensitiveStreams / streamsPerReservedUpstream);
	if (previous === undefined || needed >= previous.count) {
		return {count: needed, heldSince: now};
	}

	return now - previous.heldSince > reservationHold ? {count: previous.count - 1, heldSince: now} : previous;
};

/** Hashes by upstream, cached because each decision sorts all upstreams of a service. */
const hashCache = new WeakMap<Upstream, number>();

const getUpstreamHash = (upstream: Upstream): number => {
	const cached = hashCache.get(upstream);
	if (cached !== undefined) {
		return cached;
	}

	const hash = getHash(upstream.id);
	hashCache.set(upstream, hash);
	return hash;
};

/** Chooses the upstreams that are reserved for latency-sensitive streams and avoided by long prefills. All hosts choose the same ones for the same count. */
export const chooseReservedUpstreams = (upstreams: readonly Upstream[], count: number): ReadonlySet<UpstreamKey> => {
	const reservedCount = Math.min(Math.floor(upstreams.length * maxReservedFraction), count);
	if (reservedCount === 0) {
		return new Set();
	}

	const ordered = upstreams.toSorted((one, other) => getUpstreamHash(one) - getUpstreamHash(other));
	return new Set(ordered.slice(0, reservedCount).map(upstream => getUpstreamKey(upstream)));
};
