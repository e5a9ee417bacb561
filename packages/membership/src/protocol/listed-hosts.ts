import type {
	HostId, Incarnation, ListedHost, Milliseconds,
} from '@gentianlift/types';

/** What the lagging host list says of the hosts. */
export type ListedHosts = {
	/** Takes in a list; `getIncarnation` gives the process that is known of a host. */
	update: (list: ListedHost[], now: Milliseconds, getIncarnation: (host: HostId) => Incarnation | undefined) => void;
	/** Whether the list has that process of a host as leaving. */
	isLeaving: (host: HostId, incarnation: Incarnation) => boolean;
	/** Whether the list was read and doesn't have the host. */
	isMissing: (host: HostId) => boolean;
};

/** Age of a process up to which the list may still speak of the one before it. */
const longestLag: Milliseconds = 60_000;

/** Creates an empty view of the list for a host. A list that doesn't have the host itself is no evidence against others. */
export const createListedHosts = (self: HostId): ListedHosts => {
	const leaving = new Map<HostId, Incarnation>();
	let listed: Set<HostId> | undefined;

	const noteLeaving = (host: HostId, now: Milliseconds, incarnation: Incarnation | undefined): void => {
		const isYoung = incarnation !== undefined && now - incarnation < longestLag;
		if (incarnation !== undefined && !isYoung && !leaving.has(host)) {
			leaving.set(host, incarnation);
		}
	};

	return {
		update(list, now, getIncarnation) {
			const entryHosts = list.filter(({kind}) => kind === 'entry');
			listed = new Set(entryHosts.map(({id}) => id));
			for (const {id, state} of entryHosts) {
				if (state === 'leaving') {
					noteLeaving(id, now, getIncarnation(id));
				} else {
					leaving.delete(id);
				}
			}
		},
		isLeaving: (host, incarnation) => leaving.get(host) === incarnation,
		isMissing: host => listed?.has(self) === true && !listed.has(host),
	};
};
