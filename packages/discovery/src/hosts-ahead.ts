import type {HostId, Zone} from '@gentianlift/types';
import type {HostRecord} from './host-record.js';

/** Returns the hosts that have reported a newer revision than a known one; only those of the own availability zone if there are some, as traffic between zones is expensive. */
export const findHostsAhead = (hosts: readonly HostRecord[], {known, zone, getRevisionOf}: {known: number; zone: Zone; getRevisionOf: (host: HostId) => number}): HostRecord[] => {
	const ahead = hosts.filter(({host}) => getRevisionOf(host) > known);
	const inZone = ahead.filter(host => host.zone === zone);
	return inZone.length > 0 ? inZone : ahead;
};
