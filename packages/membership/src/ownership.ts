import createXxhash from 'xxhash-wasm';
import type {HostId, Member} from '@gentianlift/types';

const {h32} = await createXxhash();

type WeightedHost = {host: HostId; weight: number};

const compareWeights = (first: WeightedHost, second: WeightedHost): number => {
	if (first.weight !== second.weight) {
		return second.weight - first.weight;
	}

	return first.host < second.host ? -1 : 1;
};

/** Returns the hosts that may own keys. Draining and gone hosts may not; suspected hosts keep their keys until they are gone. */
export const getEligibleHosts = (members: Member[]): HostId[] => {
	const eligible = members.filter(({state}) => state === 'alive' || state === 'suspected');
	return eligible.map(({host}) => host);
};

/** Returns the owner of a key and its successors, `count` hosts in all, by rendezvous hashing: a host that joins or leaves moves only its own keys. */
export const getOwners = (key: string, hosts: HostId[], count: number): HostId[] => {
	const seed = h32(key);
	const weighted = hosts.map(host => ({host, weight: h32(host, seed)}));
	return weighted.toSorted(compareWeights).slice(0, count).map(({host}) => host);
};

/** Returns the owner of a key; undefined if there are no hosts. */
export const getOwner = (key: string, hosts: HostId[]): HostId | undefined => {
	const seed = h32(key);
	let best: WeightedHost | undefined;
	for (const host of hosts) {
		const candidate = {host, weight: h32(host, seed)};
		best = best === undefined || compareWeights(candidate, best) < 0 ? candidate : best;
	}

	return best?.host;
};
