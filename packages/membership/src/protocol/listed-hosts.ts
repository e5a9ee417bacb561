import type {
	HostId, Incarnation, ListedHost, Milliseconds,
} from '@gentianlift/types';

/** State of the hosts according to the platform's host list, which lags behind the hosts themselves. */
export type ListedHosts = {
	/** Applies a list; `getIncarnation` returns the known incarnation of a host. */
	update: (list: ListedHost[], now: Milliseconds, getIncarnation: (host: HostId) => Incarnation | undefined) => void;
	/** Returns whether the list has that incarnation of a host as leaving. */
	isLeaving: (host: HostId, incarnation: Incarnation) => boolean;
	/** Returns whether the host is absent from the list. Always false while the list hasn't been read or this host is absent from it too. */
	isMissing: (host: HostId) => boolean;
};

/** Age of a process up to which the list may still describe the process before it. */
const maxListLag: Milliseconds = 60_000;

/** Creates the listed hosts before any list was read. A list without `self` is incomplete, and so is no evidence that other hosts are missing. */
export const createListedHosts = (self: HostId): ListedHosts => {
	const leaving = new Map<HostId, Incarnation>();
	let listed: Set<HostId> | undefined;

	const markLeaving = (host: HostId, now: Milliseconds, incarnation: Incarnation | undefined): void => {
		const isRecent = incarnation !== undefined && now - incarnation < maxListLag;
		if (incarnation !== undefined && !isRecent && !leaving.has(host)) {
			leaving.set(host, incarnation);
		}
	};

	return {
		update(list, now, getIncarnation) {
			const entryHosts = list.filter(({kind}) => kind === 'entry');
			listed = new Set(entryHosts.map(({id}) => id));
			for (const {id, state} of entryHosts) {
				if (state === 'leaving') {
					markLeaving(id, now, getIncarnation(id));
				} else {
					leaving.delete(id);
				}
			}
		},
		isLeaving: (host, incarnation) => leaving.get(host) === incarnation,
		isMissing: host => listed?.has(self) === true && !listed.has(host),
	};
};
