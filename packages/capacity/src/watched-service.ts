import {
	defaultPrefillRate, getUpstreamKey, type RouteTable, type Scaling, type Service, type Upstream, type UpstreamKey,
} from '@gentianlift/routing';
import type {Milliseconds, Zone} from '@gentianlift/types';
import type {ServiceLoad} from './needed-upstreams.js';
import {createNeedHistory, type NeedHistory} from './need-history.js';
import {createOrderBook, type OrderBook} from './order-book.js';
import type {KindCounts} from './zone-capacity.js';

/** A service the upstreams of which are ordered. */
export type ScaledService = Service & {scaling: Scaling};

/** What a host remembers of a service the demand of which it watches. */
export type WatchedService = {
	startTime: Milliseconds;
	history: NeedHistory;
	book: OrderBook;
	/** The last sample of its load. */
	load: ServiceLoad;
	/** Prompt tokens that an upstream prefills per millisecond. */
	prefillRate: number;
	/** Upstreams that the service began with; undefined if some were ordered before this host watched, or none have been listed. */
	initial: number | undefined;
	/** Whether any upstream has been listed. */
	hasUpstreams: boolean;
	/** Whether a reclaimable upstream has been listed. */
	hasReclaimable: boolean;
};

/** Time for which a need is held after it has fallen, and for which a zone may be without its reserve after a loss, in times that an upstream needs to start. */
const holdFactor = 5;
/** Time for which a need is held for which regular upstreams are ordered in place of reclaimable ones, in times that an upstream needs to start. */
const recentFactor = 2;

/** Begins to watch a service. */
export const watchService = ({scaling: {startTime}}: ScaledService): WatchedService => ({
	startTime,
	history: createNeedHistory({holdPeriod: startTime * holdFactor, recentPeriod: startTime * recentFactor}),
	book: createOrderBook({startTime, recoveryTime: startTime * holdFactor}),
	load: {running: 0, prefilling: 0, queuedTokens: 0},
	prefillRate: defaultPrefillRate,
	initial: undefined,
	hasUpstreams: false,
	hasReclaimable: false,
});

const isServing = ({isLeaving}: Upstream): boolean => !isLeaving;

/** Records which upstreams are listed, and what the service began with until the first reclaimable one is. */
export const recordListed = (watched: WatchedService, listed: readonly Upstream[]): void => {
	watched.hasUpstreams ||= listed.length > 0;
	watched.hasReclaimable ||= listed.some(({isReclaimable}) => isReclaimable === true);
	if (watched.hasUpstreams && !watched.hasReclaimable) {
		watched.initial = Math.max(watched.initial ?? 0, listed.filter(upstream => isServing(upstream)).length);
	}
};

/** Returns the services of a configuration the upstreams of which may be ordered. */
export const getScaledServices = (table: RouteTable | undefined): ScaledService[] =>
	[...table?.services.values() ?? []].flatMap(service => service.scaling !== undefined && service.scaling.max > 0 ? [{...service, scaling: service.scaling}] : []);

/** Returns the zones in which upstreams of a service may be ordered: those with a price, and those that have some. */
export const getZones = ({scaling}: ScaledService, listed: readonly Upstream[]): Zone[] =>
	[...new Set([...Object.keys(scaling.zonePrices), ...listed.map(({zone}) => zone)])];

/** Counts the upstreams of a zone that serve. */
export const countServing = (listed: readonly Upstream[], zone: Zone): KindCounts => {
	const counts: KindCounts = {regular: 0, reclaimable: 0};
	for (const upstream of listed.filter(other => other.zone === zone && isServing(other))) {
		counts[upstream.isReclaimable === true ? 'reclaimable' : 'regular'] += 1;
	}

	return counts;
};

/** Returns the keys of upstreams. */
export const getKeys = (listed: readonly Upstream[]): Set<UpstreamKey> => new Set(listed.map(upstream => getUpstreamKey(upstream)));

/** Returns the requests that one upstream of a service runs concurrently. */
export const getSlots = ({engine}: Service, listed: readonly Upstream[]): number =>
	Math.max(1, engine?.slots ?? Math.min(...listed.map(({slots}) => slots)));

/** Returns the longest target for the first bytes among the routes to a service. */
export const getLongestTarget = ({configuration: {routes}}: RouteTable, service: string, fallback: Milliseconds): Milliseconds => {
	const targets = routes.filter(({destinations}) => destinations.some(destination => destination.service === service)).map(({latencyTarget}) => latencyTarget);
	return targets.length === 0 ? fallback : Math.max(...targets);
};
