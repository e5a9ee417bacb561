import type {Random} from '@gentianlift/clock';
import type {
	HostAnswer, HostState, Member, Milliseconds, Zone,
} from '@gentianlift/types';

/** Hosts in one answer at most. */
const maxHosts = 24;
/** Hosts of one availability zone at most, so that a caller survives the loss of its own. */
const maxZoneHosts = 16;
const fullWeight = 100;
const suspectedWeight = 1;
/** Weight of a host in another availability zone than the caller's, relative to one in the caller's. */
const otherZoneShare = 0.25;
/** Share of its weight that a full host loses. */
const loadShare = 0.9;

const statesInOrder: HostState[][] = [['alive', 'suspected'], ['draining'], ['gone']];

const getCandidates = (members: Member[]): Member[] => {
	const groups = statesInOrder.map(states => members.filter(({state}) => states.includes(state)));
	return groups.find(group => group.length > 0) ?? [];
};

const getWeight = ({state, load, zone}: Member, callerZone: Zone | undefined): number => {
	if (state !== 'alive') {
		return suspectedWeight;
	}

	const zoneShare = callerZone === undefined || zone === callerZone ? 1 : otherZoneShare;
	return Math.max(suspectedWeight, Math.round(fullWeight * zoneShare * (1 - (loadShare * load))));
};

const getPlace = ({state, zone}: Member, callerZone: Zone | undefined): number =>
	(state === 'alive' ? 0 : 2) + (zone === callerZone ? 0 : 1);

const getSample = (members: Member[], random: Random): Member[] => {
	const keyed = members.map(member => ({member, key: random.next()}));
	return keyed.toSorted((first, second) => first.key - second.key).map(({member}) => member);
};

/**
Gets the answer for a caller: hosts of its availability zone first, each with a weight.
Draining and gone hosts are left out unless no other is known. Of a large fleet the answer names a random part.
*/
export const getHostAnswer = (members: Member[], callerZone: Zone | undefined, timeToLive: Milliseconds, random?: Random): HostAnswer => {
	const candidates = getCandidates(members);
	const sample = random === undefined ? candidates : getSample(candidates, random);
	const ranked = sample.toSorted((first, second) => getPlace(first, callerZone) - getPlace(second, callerZone));
	const own = ranked.filter(({zone}) => zone === callerZone);
	const others = ranked.filter(({zone}) => zone !== callerZone);
	const spare = own.slice(maxZoneHosts);
	const chosen = [...own.slice(0, maxZoneHosts), ...others, ...spare].slice(0, maxHosts).toSorted((first, second) => getPlace(first, callerZone) - getPlace(second, callerZone));
	const hosts = chosen.map(member => ({
		host: member.host, address: member.callerAddress, zone: member.zone, weight: getWeight(member, callerZone),
	}));
	return {hosts, timeToLive};
};
