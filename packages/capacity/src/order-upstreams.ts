import {
	hostSilenceTimeout, startLoop, type FleetView, type Loop,
} from '@gentianlift/discovery';
import type {CapacityKind, Duties, DutyOutcome} from '@gentianlift/duties';
import type {Metrics} from '@gentianlift/metrics';
import type {HostId, Milliseconds, Zone} from '@gentianlift/types';
import {
	decideCapacity, type CapacityChange, type CapacityDecision, type CapacityInput, type ObservedZone,
} from './decide-capacity.js';
import {createKeptLog, type KeptReason} from './kept-log.js';
import {
	countServing, getZones, type ScaledService, type WatchedService,
} from './watched-service.js';
import {watchServices, type WatchOptions} from './watched-services.js';
import {capacityKinds} from './zone-capacity.js';

/** Dependencies of the orders. */
export type OrderOptions = WatchOptions & {
	metrics: Metrics;
	view: Pick<FleetView, 'isStoreReached'>;
	/** Returns the time since the last load report of another host. */
	getSilence: (host: HostId) => Milliseconds;
	duties: Pick<Duties, 'orderCapacity'>;
};

/** Interval at which orders are decided on. */
const decisionInterval: Milliseconds = 500;
/** Part of the listed hosts that must have reported lately for the demand to count as known in full. */
const minReportingPart = 0.9;

/** A service the upstreams of which this host orders. */
type OrderedService = {service: ScaledService; watched: WatchedService};

/** Longest time since a report among the hosts that report, and the part of the hosts that do. */
type Freshness = {reportingPart: number; silence: Milliseconds};

/** An order with its outcome and what led to it. */
type SentOrder = {change: CapacityChange; outcome: DutyOutcome; decision: CapacityDecision; freshness: Freshness};

/** Starts to order the upstreams that the services of the fleet need, where this host has the duty to. */
export const startCapacityOrders = (options: OrderOptions): Loop => {
	const {
		clock, logger, metrics, own, view, duties,
	} = options;
	const services = watchServices(options);
	const keptLog = createKeptLog({clock, logger});

	const isHeld = (service: string, zone: Zone): boolean => duties.isHeld({duty: 'scaling', service, zone});

	const getFreshness = (): Freshness => {
		const others = view.getHosts().filter(({host, isStopping}) => host !== own.host && !isStopping);
		const silences = others.map(({host}) => options.getSilence(host)).filter(silence => silence <= hostSilenceTimeout);
		return {reportingPart: (silences.length + 1) / (others.length + 1), silence: Math.max(0, ...silences)};
	};

	const recordMetrics = ({service: {name}, watched}: OrderedService, zones: readonly ObservedZone[], required: number): void => {
		metrics.setGauge('capacity_needed', watched.history.getLast(), {service: name});
		metrics.setGauge('capacity_required', required, {service: name});
		for (const {zone, ordered, serving} of zones) {
			for (const kind of capacityKinds) {
				metrics.setGauge('capacity_ordered', ordered[kind], {service: name, zone, kind});
				metrics.setGauge('capacity_serving', serving[kind], {service: name, zone, kind});
			}
		}
	};

	const logOrder = ({service: {name}, watched: {load, history}}: OrderedService, {change, outcome, decision, freshness}: SentOrder): void => {
		logger.info('capacity-ordered', {
			service: name, ...change, outcome: outcome.kind, ...('reason' in outcome && {reason: outcome.reason}),
			needed: Number(history.getLast().toFixed(1)), required: decision.required, requiredNow: decision.requiredNow, survivors: decision.survivors, ...load,
			reporting: Number(freshness.reportingPart.toFixed(2)), age: Math.round(freshness.silence),
		});
	};

	const getKeptReason = ({need, isFresh}: CapacityInput, {required, survivors}: CapacityDecision): KeptReason => {
		if (survivors < required) {
			return 'short';
		}

		if (!need.isKnown) {
			return 'demand-unknown';
		}

		return isFresh ? 'met' : 'stale-reports';
	};

	/** Returns the orders to send: what was decided for the zones that this host holds, and those of unknown outcome once more. */
	const getOrders = (name: string, {changes}: CapacityDecision, {book}: Pick<WatchedService, 'book'>): CapacityChange[] => {
		const isChanged = (zone: Zone, kind: CapacityKind): boolean => changes.some(change => change.zone === zone && change.kind === kind);
		const repeated = book.getUnknown().filter(({zone, kind}) => !isChanged(zone, kind));
		return [...changes, ...repeated].filter(({zone}) => isHeld(name, zone));
	};

	const decideAndOrder = async (ordered: OrderedService): Promise<void> => {
		const {service, watched} = ordered;
		const now = clock.monotonic();
		const listed = view.getListedUpstreams(service.name);
		const observed = watched.book.observe(getZones(service, listed).map(zone => ({zone, serving: countServing(listed, zone), isHeld: isHeld(service.name, zone)})), now);
		const freshness = getFreshness();
		const input: CapacityInput = {
			scaling: service.scaling, need: watched.history.get(now), initial: watched.initial, zones: observed,
			isRecovering: watched.book.isRecovering(now), isFresh: freshness.reportingPart >= minReportingPart, isIdle: watched.load.running === 0,
		};
		const decision = decideCapacity(input);
		recordMetrics(ordered, observed, decision.required);
		const orders = getOrders(service.name, decision, watched);
		if (orders.length === 0) {
			keptLog.record(service.name, getKeptReason(input, decision), {needed: Number(watched.history.getLast().toFixed(1)), required: decision.required, survivors: decision.survivors});
		}

		await Promise.all(orders.map(async change => {
			const outcome = await duties.orderCapacity({
				service: service.name, zone: change.zone, kind: change.kind, count: change.count,
			});
			watched.book.record(change, outcome, clock.monotonic());
			metrics.count('capacity_orders_total', {
				service: service.name, zone: change.zone, kind: change.kind, outcome: outcome.kind,
			});
			logOrder(ordered, {
				change, outcome, decision, freshness,
			});
		}));
	};

	const holdsAny = (service: ScaledService): boolean => getZones(service, view.getListedUpstreams(service.name)).some(zone => isHeld(service.name, zone));

	const loop = startLoop('capacity', async () => {
		const all = [...services.getAll().values()].filter(({watched}) => watched.hasUpstreams);
		const held = all.filter(({service}) => holdsAny(service));
		for (const {watched} of all.filter(ordered => !held.includes(ordered))) {
			watched.book.forget();
		}

		if (view.isStoreReached()) {
			await Promise.all(held.map(async ordered => decideAndOrder(ordered)));
		}

		return decisionInterval;
	}, {clock, logger, onFailure: options.onFailure});

	return {
		stop() {
			loop.stop();
			services.stop();
		},
	};
};
