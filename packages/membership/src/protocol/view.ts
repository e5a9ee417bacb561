import type {Clock} from '@gentianlift/clock';
import type {HostId, Member, Milliseconds} from '@gentianlift/types';
import {getMember, type MemberEntry, type Update} from '../state/entry.js';
import {createAnnouncementStore} from '../state/announcement-store.js';
import {createDisseminationQueue} from '../state/dissemination-queue.js';
import {createMemberTable, type MergeResult} from '../state/member-table.js';
import {createListedHosts, type ListedHosts} from './listed-hosts.js';
import type {DisseminationState} from './piggyback.js';
import {createSuspicions, type Suspicions} from './suspicions.js';
import {getSuspicionTimeout} from './timing.js';

/** A member that is new, or that changed in anything other than its load. */
export type MemberChange = {before: Member | undefined; after: Member};

/** Membership as this host sees it. Applies updates to the member table and starts what follows from them: dissemination, suspicion timeouts and notifications. */
export type View = DisseminationState & {
	suspicions: Suspicions;
	listedHosts: ListedHosts;
	/** Hosts whose full entries have to be requested from others, as only an update about them was received. */
	entryRequests: Set<HostId>;
	getSelf: () => MemberEntry;
	/** Changes this host's own entry and increments its revision if `isClaim`, its attribute revision otherwise. */
	updateSelf: (change: Partial<Update>, isClaim: boolean) => void;
	applyUpdate: (update: Update) => void;
	/** Applies a full entry; if `isForwarded`, an entry of a new incarnation is queued for dissemination. */
	applyEntry: (entry: MemberEntry, isForwarded: boolean) => void;
	getMembers: () => Member[];
	onChange: (listener: (change: MemberChange) => void) => () => void;
	/** Runs a change of the listed hosts and notifies listeners of the members whose state it changed. */
	refreshHostList: (change: () => void) => void;
	/** Returns when a host was declared gone, in monotonic time; undefined if it isn't gone. */
	getGoneSince: (host: HostId) => Milliseconds | undefined;
	removeMember: (host: HostId) => void;
};

const isSameMember = (before: Member | undefined, after: Member): boolean =>
	before?.state === after.state && before.incarnation === after.incarnation && before.configurationVersion === after.configurationVersion;

/** Creates the view of a host that knows only itself. */
export const createView = (clock: Clock, self: MemberEntry): View => {
	const table = createMemberTable(self);
	const announcements = createAnnouncementStore(clock);
	const [entryQueue, updateQueue, announcementQueue] = [createDisseminationQueue(), createDisseminationQueue(), createDisseminationQueue()];
	const suspicions = createSuspicions();
	const listedHosts = createListedHosts(self.host);
	const listeners = new Set<(change: MemberChange) => void>();
	const entryRequests = new Set<HostId>();
	const goneSince = new Map<HostId, Milliseconds>();
	let newestVersion = self.configurationVersion;
	let members: Member[] | undefined;

	const toMember = (entry: MemberEntry): Member => getMember(entry, listedHosts.isLeaving(entry.host, entry.incarnation));
	const getSelf = (): MemberEntry => table.get(self.host) ?? self;

	const notifyListeners = (before: Member | undefined, after: Member): void => {
		members = undefined;
		if (isSameMember(before, after)) {
			return;
		}

		for (const listener of listeners) {
			listener({before, after});
		}
	};

	const queueForDissemination = (before: MemberEntry | undefined, after: MemberEntry, isForwarded: boolean): void => {
		const isNewVersion = after.configurationVersion > newestVersion;
		newestVersion = Math.max(newestVersion, after.configurationVersion);
		if (before?.incarnation !== after.incarnation) {
			if (isForwarded) {
				entryQueue.add(after.host, true);
			}
		} else if (before.revision !== after.revision || before.liveness !== after.liveness) {
			updateQueue.add(after.host, true);
		} else if (before.configurationVersion !== after.configurationVersion) {
			updateQueue.add(after.host, isNewVersion);
		}
	};

	const trackSuspicion = ({host, liveness}: MemberEntry): void => {
		switch (liveness) {
			case 'alive': {
				suspicions.cancel(host);
				goneSince.delete(host);
				break;
			}

			case 'suspected': {
				suspicions.start(host, clock.monotonic(), getSuspicionTimeout(table.getPresentEntries().length));
				break;
			}

			case 'gone': {
				suspicions.cancel(host);
				goneSince.set(host, goneSince.get(host) ?? clock.monotonic());
				break;
			}
		}
	};

	const applyMerge = (merge: MergeResult, host: HostId, isForwarded = true): void => {
		switch (merge.kind) {
			case 'changed': {
				const {before, after} = merge;
				queueForDissemination(before, after, isForwarded);
				trackSuspicion(after);
				notifyListeners(before && toMember(before), toMember(after));
				break;
			}

			case 'unknown': {
				entryRequests.add(host);
				break;
			}

			case 'unchanged': {
				break;
			}
		}
	};

	const updateSelf = (change: Partial<Update>, isClaim: boolean): void => {
		const known = getSelf();
		const incremented = isClaim ? {revision: known.revision + 1} : {attributeRevision: known.attributeRevision + 1};
		applyMerge(table.applyUpdate({...known, ...incremented, ...change}), self.host);
	};

	/** Refutes a false claim that this host is suspected or gone, by raising its own revision above that of the claim. */
	const refute = (update: Update): void => {
		const known = getSelf();
		const isFalse = update.incarnation === known.incarnation && update.liveness !== 'alive' && update.revision >= known.revision;
		if (isFalse && known.liveness === 'alive') {
			updateSelf({revision: update.revision + 1}, true);
		}
	};

	const applyUpdate = (update: Update): void => {
		if (update.host === self.host) {
			refute(update);
		} else {
			applyMerge(table.applyUpdate(update), update.host);
		}
	};

	return {
		table,
		announcements,
		entryQueue,
		updateQueue,
		announcementQueue,
		suspicions,
		listedHosts,
		entryRequests,
		getSelf,
		updateSelf,
		applyUpdate,
		applyEntry(entry, isForwarded) {
			if (entry.host === self.host) {
				refute(entry);
			} else {
				entryRequests.delete(entry.host);
				applyMerge(table.applyEntry(entry), entry.host, isForwarded);
			}
		},
		getMembers() {
			members ??= table.getAll().map(entry => toMember(entry));
			return members;
		},
		onChange(listener) {
			listeners.add(listener);
			return () => {
				listeners.delete(listener);
			};
		},
		refreshHostList(change) {
			const before = new Map(table.getAll().map(entry => [entry.host, toMember(entry)]));
			change();
			for (const entry of table.getAll()) {
				notifyListeners(before.get(entry.host), toMember(entry));
			}
		},
		getGoneSince: host => goneSince.get(host),
		removeMember(host) {
			table.remove(host);
			goneSince.delete(host);
			members = undefined;
		},
	};
};
