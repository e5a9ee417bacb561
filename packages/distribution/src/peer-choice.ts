import type {Random} from '@gentianlift/clock';
import type {HostId, Member} from '@gentianlift/types';

/** Gets the other hosts that can be asked. */
export const getPeers = (members: readonly Member[], self: HostId): Member[] =>
	members.filter(({host, state}) => host !== self && state !== 'gone');

/** Gets a random host among those that hold a version, so that the first holder isn't asked by all. */
export const getHolder = (peers: Member[], version: number, random: Random): HostId | undefined =>
	random.pick(peers.filter(({configurationVersion}) => configurationVersion >= version))?.host;

/** Gets the hosts to ask at the start: the owners, who learn first, then others at random. */
export const getStartPeers = (peers: Member[], owners: readonly HostId[], random: Random, count: number): HostId[] => {
	const keyed = peers.map(({host}) => ({host, order: owners.includes(host) ? -1 : random.next()}));
	return keyed.toSorted((a, b) => a.order - b.order).slice(0, count).map(({host}) => host);
};
