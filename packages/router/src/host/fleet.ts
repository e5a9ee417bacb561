import {
	getEligibleHosts, getHostAnswer, getOwner, getOwners,
} from '@gentianlift/membership';
import type {
	HostAnswer, HostId, Incarnation, Member, Milliseconds, Zone,
} from '@gentianlift/types';
import type {Random} from '@gentianlift/clock';

/** The hosts as the rest of the process asks for them. */
export type Fleet = {
	getMembers: () => readonly Member[];
	/** Hosts that may own keys. */
	getHosts: () => ReadonlyArray<{host: HostId; zone: Zone}>;
	getMember: (host: HostId) => Member | undefined;
	getOwnerOf: (key: string) => HostId | undefined;
	getOwners: (key: string, count: number) => readonly HostId[];
	getHostAnswer: (zone: Zone | undefined) => HostAnswer;
	/** Whether a run of a host is known to have ended. */
	isGone: (host: HostId, incarnation: Incarnation) => boolean;
};

/** Creates the questions on top of a list of members. The owners are kept until the list changes. */
export const createFleet = (getList: () => Member[], timeToLive: Milliseconds, random: Random): Fleet => {
	let members: Member[] | undefined;
	let eligible: HostId[] = [];
	const owners = new Map<string, HostId | undefined>();

	const refresh = (): void => {
		const list = getList();
		if (list === members) {
			return;
		}

		members = list;
		const next = getEligibleHosts(list);
		if (next.join(' ') !== eligible.join(' ')) {
			eligible = next;
			owners.clear();
		}
	};

	const getOwnerOf = (key: string): HostId | undefined => {
		refresh();
		if (!owners.has(key)) {
			owners.set(key, getOwner(key, eligible));
		}

		return owners.get(key);
	};

	const getMember = (host: HostId): Member | undefined => getList().find(member => member.host === host);

	return {
		getMembers: getList,
		getMember,
		getOwnerOf,
		getHosts() {
			refresh();
			const known = new Set(eligible);
			return getList().filter(({host}) => known.has(host));
		},
		getOwners(key, count) {
			refresh();
			return getOwners(key, eligible, count);
		},
		getHostAnswer: zone => getHostAnswer(getList(), zone, timeToLive, random),
		isGone(host, incarnation) {
			const member = getMember(host);
			return member !== undefined && (member.incarnation > incarnation || (member.incarnation === incarnation && member.state === 'gone'));
		},
	};
};
