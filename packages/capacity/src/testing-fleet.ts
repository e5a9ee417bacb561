import {createManualClock, type ManualClock} from '@gentianlift/clock';
import type {CapacityOrder, Duties, DutyOutcome} from '@gentianlift/duties';
import {createLogger, type Logger} from '@gentianlift/logger';
import {createMetrics, type Metrics} from '@gentianlift/metrics';
import {
	buildRouteTable, getUpstreamKey, noRankTokens, type RouteTable, type Scaling, type Upstream,
} from '@gentianlift/routing';
import type {Milliseconds, Zone} from '@gentianlift/types';
import {startCapacityOrders} from './order-upstreams.js';
import {countServing} from './watched-service.js';
import type {KindCounts} from './zone-capacity.js';

/** Zones of the test fleets, the cheapest second. */
export const testZones = ['a', 'b', 'c', 'd'];
/** Bounds and prices of the service. */
export const testScaling: Scaling = {
	min: 1, max: 20, startTime: 4000, reclaimablePrice: 0.25, zonePrices: {
		a: 1, b: 0.8, c: 1.25, d: 0.9,
	},
};
const slots = 10;

/** Requests in flight that one upstream is meant to run. */
export const requestsPerUpstream = 6;

/** A fleet of one host in each zone, one of which orders upstreams of a service from a fake of the operators' service. */
export type TestFleet = {
	clock: ManualClock;
	metrics: Metrics;
	/** Orders in the order in which they came, with their time. */
	orders: Array<CapacityOrder & {at: Milliseconds}>;
	/** Requests in flight of each zone's host. */
	running: number;
	/** Upstreams that have prompts to prefill. */
	prefilling: number;
	/** Uncached tokens that the host of the first zone has queued. */
	queuedTokens: number;
	/** Time since the last report of each other host. */
	silence: Milliseconds;
	/** Outcome of an order; upstreams come and go only for accepted ones. */
	answer: (order: CapacityOrder) => DutyOutcome;
	/** Whether the host holds the duty. */
	isHolder: boolean;
	/** Zones in which ordered upstreams don't begin to serve. */
	lateZones: ReadonlySet<Zone>;
	count: (zone: Zone) => KindCounts;
	countAll: () => KindCounts;
	/** Takes reclaimable upstreams of a zone away, all or all but some. */
	removeReclaimable: (zone: Zone, kept?: number) => void;
	/** Starts the orders of the host, or of the one that follows it. */
	start: () => void;
	stop: () => void;
};

const createTable = (scaling: Scaling): RouteTable => buildRouteTable({
	version: 1,
	routes: [{
		name: 'chat', hostname: 'chat.example', pathPrefix: '/', kind: 'streaming', isResumable: true, isPublic: true, hasPrompt: true,
		timeout: 8000, latencyTarget: 1000, rank: 0, maxUpstreams: 1, destinations: [{service: 'model', weight: 1}],
	}],
	services: [{
		name: 'model', maxConnections: 100, engine: {slots, cacheTokens: 1000, tokensPerEvent: 1}, scaling,
	}],
	limits: {
		maxHeaderBytes: 1000, maxBodyBytes: 1000, headerTimeout: 1000, idleTimeout: 1000,
	},
});

const silentLogger: Logger = createLogger('info', () => undefined);

/** Creates a fleet that has `initial` upstreams in each zone, without traffic. */
export const createTestFleet = (initial: KindCounts, scaling: Scaling = testScaling): TestFleet => {
	const clock = createManualClock();
	const table = createTable(scaling);
	let upstreams: Upstream[] = [];
	let nextId = 0;
	let stop = (): void => undefined;
	const hosts = testZones.map(zone => ({host: `host-${zone}`, zone}));

	const add = (zone: Zone, isReclaimable: boolean): void => {
		nextId += 1;
		upstreams.push({
			id: `u${nextId}`, service: 'model', address: `10.0.0.1:${nextId}`, zone, isLeaving: false, slots, startedAt: 1, softwareVersion: '', ...(isReclaimable && {isReclaimable}),
		});
	};

	/** Adds or removes upstreams until as many serve as the last order says. */
	const apply = ({zone, kind, count}: CapacityOrder): void => {
		const isOrdered = (upstream: Upstream): boolean => upstream.zone === zone && (upstream.isReclaimable === true) === (kind === 'reclaimable');
		const kept = upstreams.filter(upstream => isOrdered(upstream)).slice(0, count);
		upstreams = [...upstreams.filter(upstream => !isOrdered(upstream)), ...kept];
		clock.after(scaling.startTime, () => {
			const isLatest = fleet.orders.findLast(order => order.zone === zone && order.kind === kind)?.count === count;
			const missing = isLatest && !fleet.lateZones.has(zone) ? count - fleet.count(zone)[kind] : 0;
			for (let added = 0; added < missing; added++) {
				add(zone, kind === 'reclaimable');
			}
		});
	};

	const duties: Pick<Duties, 'isHeld' | 'getCandidates' | 'orderCapacity'> = {
		isHeld: () => fleet.isHolder,
		getCandidates: () => ['host-a'],
		async orderCapacity(order) {
			const outcome = fleet.answer(order);
			fleet.orders.push({...order, at: clock.monotonic()});
			if (outcome.kind === 'accepted') {
				apply(order);
			}

			return outcome;
		},
	};

	const getLoad = () => ({
		running: fleet.running, unreadTokens: 0, latencySensitiveStreams: 0, queuedTokens: noRankTokens,
	});
	const getFirstKey = () => upstreams[0] === undefined ? undefined : getUpstreamKey(upstreams[0]);
	const getLoads = () => upstreams.slice(0, 1).map(upstream => ({upstream: getUpstreamKey(upstream), ...getLoad()}));

	const fleet: TestFleet = {
		clock,
		metrics: createMetrics(),
		orders: [],
		running: 0,
		prefilling: 0,
		queuedTokens: 0,
		silence: 100,
		answer: () => ({kind: 'accepted'}),
		isHolder: true,
		lateZones: new Set(),
		count: zone => countServing(upstreams, zone),
		countAll: () => countServing(upstreams.map(upstream => ({...upstream, zone: 'all'})), 'all'),
		removeReclaimable(zone, kept = 0) {
			const lost = new Set(upstreams.filter(upstream => upstream.zone === zone && upstream.isReclaimable === true).slice(kept));
			upstreams = upstreams.filter(upstream => !lost.has(upstream));
		},
		start() {
			({stop} = startCapacityOrders({
				clock, logger: silentLogger, metrics: fleet.metrics, own: {host: 'host-a', zone: 'a'}, duties,
				view: {
					getRoutes: () => table,
					getListedUpstreams: () => upstreams,
					getHosts: () => hosts.map(host => ({
						...host, incarnation: 1, callers: '', peers: '', notes: '', strength: 1, isStopping: false,
					})),
					isStoreReached: () => true,
				},
				getSilence: () => fleet.silence,
				loads: {
					getTotalLoad: key => ({
						...getLoad(),
						running: key === getFirstKey() ? fleet.running * testZones.length : 0,
						unreadTokens: upstreams.slice(0, fleet.prefilling).some(upstream => getUpstreamKey(upstream) === key) ? 1000 : 0,
						queuedTokens: key === getFirstKey() && fleet.queuedTokens > 0 ? new Map([[0, fleet.queuedTokens]]) : noRankTokens,
						progressAt: 0,
					}),
					getOwnLoads: () => getLoads(),
					getReportedLoads: () => new Map(hosts.slice(1).map(({host}) => [host, new Map(getLoads().map(({upstream, ...load}) => [upstream, load]))])),
				},
				getPrefillRate: () => 100,
			}));
		},
		stop() {
			stop();
		},
	};

	for (const zone of testZones) {
		for (let number = 0; number < initial.regular + initial.reclaimable; number++) {
			add(zone, number >= initial.regular);
		}
	}

	return fleet;
};
