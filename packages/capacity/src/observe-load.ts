import type {HostRecord, LoadTracker} from '@gentianlift/discovery';
import {sumRankTokens, type UpstreamKey} from '@gentianlift/routing';
import type {HostId, Zone} from '@gentianlift/types';
import type {ServiceLoad} from './needed-upstreams.js';

/** Returns the load of all hosts on some upstreams. */
export const sumLoad = (loads: Pick<LoadTracker, 'getTotalLoad'>, upstreams: Iterable<UpstreamKey>): ServiceLoad => {
	const sum: ServiceLoad = {running: 0, prefilling: 0, queuedTokens: 0};
	for (const upstream of upstreams) {
		const {running, unreadTokens, queuedTokens} = loads.getTotalLoad(upstream);
		sum.running += running;
		sum.prefilling += unreadTokens > 0 ? 1 : 0;
		sum.queuedTokens += sumRankTokens(queuedTokens);
	}

	return sum;
};

/** What the demand of availability zones is gathered from. */
export type DemandSources = {
	/** This host and its zone. */
	own: Pick<HostRecord, 'host' | 'zone'>;
	hosts: ReadonlyArray<Pick<HostRecord, 'host' | 'zone'>>;
	loads: Pick<LoadTracker, 'getOwnLoads' | 'getReportedLoads'>;
};

/** Returns the part of the requests in flight on some upstreams that the hosts of each zone have sent; nothing without requests. */
export const getZoneShares = ({own, hosts, loads}: DemandSources, upstreams: ReadonlySet<UpstreamKey>): Map<Zone, number> => {
	const zones = new Map<HostId, Zone>(hosts.map(({host, zone}) => [host, zone]));
	const counts = new Map<Zone, number>();
	let total = 0;
	const add = (zone: Zone | undefined, upstream: UpstreamKey, running: number): void => {
		if (zone !== undefined && running > 0 && upstreams.has(upstream)) {
			counts.set(zone, (counts.get(zone) ?? 0) + running);
			total += running;
		}
	};

	for (const {upstream, running} of loads.getOwnLoads()) {
		add(own.zone, upstream, running);
	}

	for (const [host, reported] of loads.getReportedLoads()) {
		for (const [upstream, {running}] of reported) {
			add(zones.get(host), upstream, running);
		}
	}

	return new Map([...counts].map(([zone, count]) => [zone, count / total]));
};
