import type {Clock} from '@gentianlift/clock';
import {
	startLoop, type FleetView, type HostRecord, type LoadTracker,
} from '@gentianlift/discovery';
import type {Duties} from '@gentianlift/duties';
import type {Logger} from '@gentianlift/logger';
import type {RouteTable, Service} from '@gentianlift/routing';
import type {Milliseconds, Zone} from '@gentianlift/types';
import {getNeededUpstreams, type ServiceLoad} from './needed-upstreams.js';
import {getZoneShares, sumLoad} from './observe-load.js';
import {
	getKeys, getLongestTarget, getScaledServices, getSlots, getZones, recordListed, watchService, type ScaledService, type WatchedService,
} from './watched-service.js';

/** Dependencies of watching the demand of services. */
export type WatchOptions = {
	clock: Clock;
	logger: Logger;
	/** This host. */
	own: Pick<HostRecord, 'host' | 'zone'>;
	view: Pick<FleetView, 'getRoutes' | 'getListedUpstreams' | 'getHosts'>;
	loads: Pick<LoadTracker, 'getOwnLoads' | 'getReportedLoads' | 'getTotalLoad'>;
	duties: Pick<Duties, 'isHeld' | 'getCandidates'>;
	/** Returns the prompt tokens that an upstream of the service prefills per millisecond. */
	getPrefillRate: (service: Service) => number;
	onFailure?: ((loop: string) => void) | undefined;
};

/** The services the demand of which this host watches, as it orders their upstreams or may be the next to. */
export type WatchedServices = {
	/** Returns them with their present configuration. */
	getAll: () => ReadonlyMap<string, {service: ScaledService; watched: WatchedService}>;
	stop: () => void;
};

/** Interval of the samples of a service's load. */
const sampleInterval: Milliseconds = 100;
/** Interval at which a host determines what it has to watch and from which zones the demand comes. */
const reviewInterval: Milliseconds = 1000;

/** Starts to watch the demand of the services that concern this host. */
export const watchServices = ({
	clock, logger, own, view, loads, duties, getPrefillRate, onFailure,
}: WatchOptions): WatchedServices => {
	const all = new Map<string, {service: ScaledService; watched: WatchedService}>();
	let reviewedAt = Number.NEGATIVE_INFINITY;

	const isConcerned = (service: string, zones: readonly Zone[]): boolean => zones.some(zone => {
		const subject = {duty: 'scaling', service, zone} as const;
		return duties.isHeld(subject) || duties.getCandidates(subject).includes(own.host);
	});

	/** Begins and ends to watch services by what the configuration and the duties are now. */
	const review = (table: RouteTable): void => {
		const concerned = getScaledServices(table).filter(service => isConcerned(service.name, getZones(service, view.getListedUpstreams(service.name))));
		for (const name of all.keys()) {
			if (concerned.every(service => service.name !== name)) {
				all.delete(name);
			}
		}

		for (const service of concerned) {
			const known = all.get(service.name)?.watched;
			const watched = known?.startTime === service.scaling.startTime ? known : watchService(service);
			all.set(service.name, {service, watched});
			const listed = view.getListedUpstreams(service.name);
			recordListed(watched, listed);
			watched.history.addShares(getZoneShares({own, hosts: view.getHosts(), loads}, getKeys(listed)), clock.monotonic());
		}
	};

	const sample = ({service, watched}: {service: ScaledService; watched: WatchedService}, table: RouteTable): void => {
		const listed = view.getListedUpstreams(service.name);
		const load: ServiceLoad = sumLoad(loads, getKeys(listed));
		const needed = getNeededUpstreams({
			load,
			strength: {slots: getSlots(service, listed), prefillRate: watched.prefillRate},
			latencyTarget: getLongestTarget(table, service.name, service.scaling.startTime),
			serving: listed.filter(({isLeaving}) => !isLeaving).length,
		});
		watched.load = load;
		watched.history.add({at: clock.monotonic(), upstreams: needed, hasTraffic: load.running > 0});
	};

	const {stop} = startLoop('capacity-demand', async () => {
		const table = view.getRoutes();
		if (table === undefined) {
			return reviewInterval;
		}

		if (clock.monotonic() - reviewedAt >= reviewInterval) {
			reviewedAt = clock.monotonic();
			review(table);
			for (const {service, watched} of all.values()) {
				watched.prefillRate = getPrefillRate(service);
			}
		}

		for (const entry of all.values()) {
			sample(entry, table);
		}

		return all.size === 0 ? reviewInterval : sampleInterval;
	}, {clock, logger, onFailure});

	return {getAll: () => all, stop};
};
