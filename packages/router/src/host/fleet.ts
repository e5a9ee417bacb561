import {
	getEligibleHosts, getHostListResponse, getOwner, getOwners,
} from '@gentianlift/membership';
import type {
	HostListResponse, HostId, Incarnation, Member, Milliseconds, Zone,
} from '@gentianlift/types';
import type {Random} from '@gentianlift/clock';

/** View of the hosts of the fleet, derived from the membership. */
export type Fleet = {
	getMembers: () => readonly Member[];
	/** Returns the hosts that may own keys. */
	getHosts: () => ReadonlyArray<{host: HostId; zone: Zone}>;
	getMember: (host: HostId) => Member | undefined;
	getOwnerOf: (key: string) => HostId | undefined;
	getOwners: (key: string, count: number) => readonly HostId[];
	getHostListResponse: (zone: Zone | undefined) => HostListResponse;
	/** Whether the given incarnation of a host is known to have ended. */
	hasEnded: (host: HostId, incarnation: Incarnation) => boolean;
};

/** Creates the view of a list of members. Owners of keys are cached until the eligible hosts change. */
export const createFleet = (readMembers: () => Member[], timeToLive: Milliseconds, random: Random): Fleet => {
	let members: Member[] | undefined;
	let eligibleHosts: HostId[] = [];
	const ownerByKey = new Map<string, HostId | undefined>();

	const refresh = (): void => {
		const currentMembers = readMembers();
		if (currentMembers === members) {
			return;
		}

		members = currentMembers;
		const nextHosts = getEligibleHosts(currentMembers);
		if (nextHosts.join(' ') !== eligibleHosts.join(' ')) {
			eligibleHosts = nextHosts;
			ownerByKey.clear();
		}
	};

	const getOwnerOf = (key: string): HostId | undefined => {
		refresh();
		if (!ownerByKey.has(key)) {
			ownerByKey.set(key, getOwner(key, eligibleHosts));
		}

		return ownerByKey.get(key);
	};

	const getMember = (host: HostId): Member | undefined => readMembers().find(member => member.host === host);

	return {
		getMembers: readMembers,
		getMember,
		getOwnerOf,
		getHosts() {
			refresh();
			const eligible = new Set(eligibleHosts);
			return readMembers().filter(({host}) => eligible.has(host));
		},
		getOwners(key, count) {
			refresh();
			return getOwners(key, eligibleHosts, count);
		},
		getHostListResponse: zone => getHostListResponse(readMembers(), zone, timeToLive, random),
		hasEnded(host, incarnation) {
			const member = getMember(host);
			return member !== undefined && (member.incarnation > incarnation || (member.incarnation === incarnation && member.state === 'gone'));
		},
	};
};
