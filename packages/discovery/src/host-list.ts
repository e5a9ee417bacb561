import type {Random} from '@gentianlift/clock';
import {getMixedHash} from '@gentianlift/routing';
import type {HostId, Milliseconds, Zone} from '@gentianlift/types';
import type {HostRecord} from './host-record.js';

/** Host together with what this host observes of it. */
export type ObservedHost = {record: HostRecord; silence: Milliseconds; isStopping: boolean};

/** Time without a load report after which callers are no longer directed to a host. */
export const hostSilenceTimeout: Milliseconds = 1600;

/** Returns the hosts that callers may be directed to: this one unless it is stopping, and others that have reported recently. */
export const getAvailableHosts = (observed: readonly ObservedHost[], own: HostId): HostRecord[] => {
	const available = observed.filter(({record, silence, isStopping}) =>
		!isStopping && !record.isStopping && (record.host === own || silence <= hostSilenceTimeout));
	return available.map(({record}) => record);
};

/** Returns the other hosts that are stopping and have reported recently: they serve what they have taken, and for some time what others forward. */
export const getStoppingHosts = (observed: readonly ObservedHost[], own: HostId): HostRecord[] => observed
	.filter(({record, silence, isStopping}) => (isStopping || record.isStopping) && record.host !== own && silence <= hostSilenceTimeout)
	.map(({record}) => record);

/** Chooses some of the hosts for a key by rendezvous hashing, so that all hosts choose the same ones. */
export const chooseHosts = (key: string, hosts: readonly HostRecord[], count: number): HostId[] => {
	const weighted = hosts.map(({host}) => ({host, weight: getMixedHash(`${key}/${host}`)}));
	return weighted.toSorted((one, other) => other.weight - one.weight || (one.host < other.host ? -1 : 1)).slice(0, count).map(({host}) => host);
};

/** Largest number of hosts of which callers get the full list. */
const maxFullListHosts = 16;
/** Number of hosts in a caller's list in a larger fleet: enough to contain a live one when half of the fleet has just failed. */
const hostSampleSize = 8;

/** Draws a weighted random sample of hosts without replacement; the weight is a host's capacity. */
const sampleHosts = (hosts: readonly HostRecord[], count: number, random: Random): HostRecord[] => {
	const keyed = hosts.map(record => ({record, key: -Math.log(1 - random.next()) / Math.max(record.strength, Number.EPSILON)}));
	return keyed.toSorted((one, other) => one.key - other.key).slice(0, count).map(({record}) => record);
};

/**
 * Selects the hosts to list for a caller: all in a small fleet, a sample of its availability zone in a large one.
 * Callers pick one of the list at random, so the sample contains hosts with more capacity more often.
 */
export const selectHostsForCaller = (available: readonly HostRecord[], zone: Zone | undefined, random: Random): HostRecord[] => {
	if (available.length <= maxFullListHosts) {
		return [...available];
	}

	const sameZone = available.filter(record => record.zone === zone);
	return sampleHosts(sameZone.length >= hostSampleSize ? sameZone : available, hostSampleSize, random);
};
