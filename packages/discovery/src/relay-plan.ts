import {getHash} from '@gentianlift/routing';
import type {HostId} from '@gentianlift/types';
import type {HostRecord} from './host-record.js';

/** Recipients of the load reports that a host forwards. */
export type RelayTargets = {
	/** Other hosts of its group. */
	members: HostRecord[];
	/** Relays of the other groups. */
	otherRelays: HostRecord[];
};

/** Recipients of a host's own load reports, and of those that it forwards. */
export type RelayPlan
	/** In a small fleet, a host sends its reports to all other hosts, which `members` lists. */
	= | {kind: 'direct'; members: HostRecord[]}
		/** A relay sends its own reports and those of its group to its group and to the other relays. */
		| (RelayTargets & {kind: 'relay'})
		/** A member sends its reports to the relay of its group; it still forwards reports when a packet requests it. */
		| (RelayTargets & {kind: 'member'; relay: HostRecord});

/** Largest fleet in which each host sends its reports to all others. */
const maxDirectHosts = 16;
/** Approximate number of hosts that share a relay. */
const targetGroupSize = 12;

const countHostsByZone = (hosts: readonly HostRecord[]): Map<string, number> => {
	const counts = new Map<string, number>();
	for (const {zone} of hosts) {
		counts.set(zone, (counts.get(zone) ?? 0) + 1);
	}

	return counts;
};

/** Returns the group of a host. A group lies within one availability zone, as traffic between zones is expensive. */
const getGroupName = ({host, zone}: HostRecord, zoneSize: number): string =>
	`${zone}/${getHash(host) % Math.max(1, Math.round(zoneSize / targetGroupSize))}`;

/** Returns the hosts of each group, by group name. */
const groupHosts = (hosts: readonly HostRecord[]): Map<string, HostRecord[]> => {
	const zoneSizes = countHostsByZone(hosts);
	const groups = new Map<string, HostRecord[]>();
	for (const record of hosts) {
		const name = getGroupName(record, zoneSizes.get(record.zone) ?? 0);
		groups.set(name, [...(groups.get(name) ?? []), record]);
	}

	return groups;
};

/** Orders hosts by capacity, highest first, with a hash as tie-break; hosts with the same view of a group agree on the order. */
const compareRelayPreference = (one: HostRecord, other: HostRecord): number =>
	other.strength - one.strength || getHash(one.host) - getHash(other.host);

const chooseRelay = (group: readonly HostRecord[], isSilent: (host: HostId) => boolean): HostRecord | undefined => {
	const ranked = group.toSorted(compareRelayPreference);
	return ranked.find(({host}) => !isSilent(host)) ?? ranked[0];
};

/**
 * Plans to which hosts a host sends load reports. In a large fleet a host sends them to the relay of its group, which
 * forwards them to its group and to the other relays, so that the traffic of an ordinary host doesn't grow with the
 * fleet. `isSilent` tells whether a host can't serve as relay for now. Each host judges this by the datagrams that it has
 * received itself, so hosts may choose different relays for a group. Reports are forwarded nevertheless, as each recipient
 * of a report with a scope forwards it, whether or not it considers itself a relay.
 */
export const planRelays = (own: HostRecord, others: readonly HostRecord[], isSilent: (host: HostId) => boolean): RelayPlan => {
	if (others.length < maxDirectHosts) {
		return {kind: 'direct', members: [...others]};
	}

	const groups = groupHosts([own, ...others]);
	const isOwnGroup = (group: readonly HostRecord[]): boolean => group.includes(own);
	const ownGroup = [...groups.values()].find(group => isOwnGroup(group)) ?? [own];
	const relay = chooseRelay(ownGroup, isSilent);
	const targets: RelayTargets = {
		members: ownGroup.filter(record => record !== own),
		otherRelays: [...groups.values()].filter(group => !isOwnGroup(group)).flatMap(group => chooseRelay(group, isSilent) ?? []),
	};
	return relay === undefined || relay === own ? {kind: 'relay', ...targets} : {kind: 'member', relay, ...targets};
};

/** Returns the relays that forward the load reports of this host. */
export const getForwardingRelays = (plan: RelayPlan): HostRecord[] => {
	switch (plan.kind) {
		case 'direct': {
			return [];
		}

		case 'relay': {
			return plan.otherRelays;
		}

		case 'member': {
			return [plan.relay];
		}
	}
};

/** Returns the relay of this host's group; undefined in a small fleet. */
export const getOwnRelay = (plan: RelayPlan, own: HostRecord): HostId | undefined => {
	switch (plan.kind) {
		case 'direct': {
			return undefined;
		}

		case 'relay': {
			return own.host;
		}

		case 'member': {
			return plan.relay.host;
		}
	}
};
