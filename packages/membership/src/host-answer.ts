import type {Random} from '@gentianlift/clock';
import type {
	HostListResponse, HostState, Member, Milliseconds, Zone,
} from '@gentianlift/types';

/** Maximum number of hosts in one answer. */
const maxHosts = 24;
/** Maximum number of hosts in the caller's availability zone, if there are others to fill the answer, so that the caller survives the loss of that zone. */
const maxZoneHosts = 16;
const fullWeight = 100;
const minWeight = 1;
/** Weight of a host in another availability zone, relative to one in the caller's. */
const otherZoneFactor = 0.25;
/** Fraction by which the weight of a fully loaded host is reduced. */
const maxLoadDiscount = 0.9;

const statePreference: HostState[][] = [['alive', 'suspected'], ['draining'], ['gone']];

const getCandidates = (members: Member[]): Member[] => {
	const groups = statePreference.map(states => members.filter(({state}) => states.includes(state)));
	return groups.find(group => group.length > 0) ?? [];
};

const getWeight = ({state, load, zone}: Member, callerZone: Zone | undefined): number => {
	if (state !== 'alive') {
		return minWeight;
	}

	const zoneFactor = callerZone === undefined || zone === callerZone ? 1 : otherZoneFactor;
	return Math.max(minWeight, Math.round(fullWeight * zoneFactor * (1 - (maxLoadDiscount * load))));
};

const getSortRank = ({state, zone}: Member, callerZone: Zone | undefined): number =>
	(state === 'alive' ? 0 : 2) + (zone === callerZone ? 0 : 1);

const shuffleMembers = (members: Member[], random: Random): Member[] => {
	const keyed = members.map(member => ({member, key: random.next()}));
	return keyed.toSorted((first, second) => first.key - second.key).map(({member}) => member);
};

/**
Builds the host list for a caller: hosts of its availability zone first, each with a weight.
Draining and gone hosts are left out unless no other is known. With `random`, the hosts of a fleet larger than one answer are a random sample.
*/
export const getHostListResponse = (members: Member[], callerZone: Zone | undefined, timeToLive: Milliseconds, random?: Random): HostListResponse => {
	const candidates = getCandidates(members);
	const shuffled = random === undefined ? candidates : shuffleMembers(candidates, random);
	const sorted = shuffled.toSorted((first, second) => getSortRank(first, callerZone) - getSortRank(second, callerZone));
	const sameZone = sorted.filter(({zone}) => zone === callerZone);
	const otherZones = sorted.filter(({zone}) => zone !== callerZone);
	const overflow = sameZone.slice(maxZoneHosts);
	const chosen = [...sameZone.slice(0, maxZoneHosts), ...otherZones, ...overflow].slice(0, maxHosts).toSorted((first, second) => getSortRank(first, callerZone) - getSortRank(second, callerZone));
	const hosts = chosen.map(member => ({
		host: member.host, address: member.callerAddress, zone: member.zone, weight: getWeight(member, callerZone),
	}));
	return {hosts, timeToLive};
};
