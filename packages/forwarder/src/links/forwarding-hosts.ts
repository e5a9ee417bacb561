import type {Random} from '@gentianlift/clock';
import type {HostRecord} from '@gentianlift/discovery';
import type {HostId, Zone} from '@gentianlift/types';

/** A host that reaches the upstreams of a service, and the requests that it handled when it said so. */
export type ReachingHost = {record: HostRecord; openRequests: number};

/** The calls that this host has forwarded to others and that have not ended. */
export type ForwardedLoads = {
	/** Records that a call is forwarded to a host; returns a function that records its end. */
	begin: (host: HostId) => () => void;
	/** Returns the load of a host in requests for each core, with the calls that were forwarded to it. */
	getLoad: (host: ReachingHost) => number;
};

/** Creates a record without calls. */
export const createForwardedLoads = (): ForwardedLoads => {
	const counts = new Map<HostId, number>();
	const add = (host: HostId, change: number): void => {
		const count = (counts.get(host) ?? 0) + change;
		if (count === 0) {
			counts.delete(host);
		} else {
			counts.set(host, count);
		}
	};

	return {
		begin(host) {
			add(host, 1);
			return () => {
				add(host, -1);
			};
		},
		getLoad: ({record, openRequests}) => (openRequests + (counts.get(record.host) ?? 0)) / Math.max(record.strength, Number.EPSILON),
	};
};

/** Dependencies of the choice of a host. */
export type ForwardingChoice = {loads: ForwardedLoads; random: Random; zone: Zone};

/** Chooses the less loaded of two random hosts, so that partitioned hosts don't all choose the same one; at equal loads the one in this host's availability zone. */
export const chooseForwardingHost = (hosts: readonly ReachingHost[], {loads, random, zone}: ForwardingChoice): HostRecord | undefined => {
	const first = random.pick(hosts);
	const second = random.pick(hosts.filter(host => host !== first));
	if (first === undefined || second === undefined) {
		return first?.record;
	}

	const difference = loads.getLoad(first) - loads.getLoad(second);
	const isFirstBetter = difference === 0 ? first.record.zone === zone : difference < 0;
	return isFirstBetter ? first.record : second.record;
};
