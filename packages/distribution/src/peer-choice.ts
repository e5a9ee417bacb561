import type {Random} from '@gentianlift/clock';
import type {HostId, Member} from '@gentianlift/types';

/** Returns the other hosts that can be called. */
export const getPeers = (members: readonly Member[], self: HostId): Member[] =>
	members.filter(({host, state}) => host !== self && state !== 'gone');

/** Picks a random host among those that advertise a version or a newer one, so that the first host to have it isn't called by all others. */
export const pickHostWithVersion = (peers: Member[], version: number, random: Random): HostId | undefined =>
	random.pick(peers.filter(({configurationVersion}) => configurationVersion >= version))?.host;

/** Chooses the hosts that a starting host calls: the owners, which receive a version first, then random others. */
export const chooseBootstrapPeers = (peers: Member[], owners: readonly HostId[], random: Random, count: number): HostId[] => {
	const ordered = peers.map(({host}) => ({host, sortKey: owners.includes(host) ? -1 : random.next()}));
	return ordered.toSorted((a, b) => a.sortKey - b.sortKey).slice(0, count).map(({host}) => host);
};
