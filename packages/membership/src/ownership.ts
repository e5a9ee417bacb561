import createXxhash from 'xxhash-wasm';
import type {HostId, Member} from '@gentianlift/types';

const {h32} = await createXxhash();

type Weighted = {host: HostId; weight: number};

const getOrder = (first: Weighted, second: Weighted): number => {
	if (first.weight !== second.weight) {
		return second.weight - first.weight;
	}

	return first.host < second.host ? -1 : 1;
};

/** Gets the hosts that may own keys: draining and gone ones don't, and suspected ones do until they are gone. */
export const getEligibleHosts = (members: Member[]): HostId[] => {
	const eligible = members.filter(({state}) => state === 'alive' || state === 'suspected');
	return eligible.map(({host}) => host);
};

/** Gets the owner of a key and those next in line by rendezvous hashing: a host that comes or goes moves only its own keys. */
export const getOwners = (key: string, hosts: HostId[], count: number): HostId[] => {
	const seed = h32(key);
	const weighted = hosts.map(host => ({host, weight: h32(host, seed)}));
	return weighted.toSorted(getOrder).slice(0, count).map(({host}) => host);
};

/** Gets the owner of a key; undefined without hosts. */
export const getOwner = (key: string, hosts: HostId[]): HostId | undefined => {
	const seed = h32(key);
	let best: Weighted | undefined;
	for (const host of hosts) {
		const next = {host, weight: h32(host, seed)};
		best = best === undefined || getOrder(next, best) < 0 ? next : best;
	}

	return best?.host;
};
