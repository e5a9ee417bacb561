import type {HostId, Zone} from '@gentianlift/types';
import type {HostRecord} from './host-record.js';

/** What a host knows, and how to tell what another one has reported: a revision of the store or a version of the configuration. */
export type KnownState = {known: number; getReported: (host: HostId) => number | undefined; zone: Zone};

/** Returns the hosts that have reported something newer than this host knows; only those of the own availability zone if there are some, as traffic between zones is expensive. */
export const findHostsAhead = (hosts: readonly HostRecord[], {known, zone, getReported}: KnownState): HostRecord[] => {
	const ahead = hosts.filter(({host}) => (getReported(host) ?? known) > known);
	const inZone = ahead.filter(host => host.zone === zone);
	return inZone.length > 0 ? inZone : ahead;
};
