import type {Clock} from '@gentianlift/clock';
import type {HostId, Member, Milliseconds} from '@gentianlift/types';
import {getMember, type Entry, type Update} from '../state/entry.js';
import {createNoteStore} from '../state/note-store.js';
import {createRumours} from '../state/rumours.js';
import {createTable, type Merge} from '../state/table.js';
import {createListedHosts, type ListedHosts} from './listed-hosts.js';
import type {Knowledge} from './packing.js';
import {createSuspicions, type Suspicions} from './suspicions.js';
import {getSuspicionTimeout} from './timing.js';

/** A member that is new or that changed in more than its load. */
export type MemberChange = {before: Member | undefined; after: Member};

/** What this host knows of all hosts, and what follows from news of them. */
export type View = Knowledge & {
	suspicions: Suspicions;
	listed: ListedHosts;
	/** Hosts whose entries are to be asked for. */
	wants: Set<HostId>;
	getSelf: () => Entry;
	/** Changes this host's own entry; `isClaim` raises its revision, and its beat is raised otherwise. */
	setSelf: (change: Partial<Update>, isClaim: boolean) => void;
	applyUpdate: (update: Update) => void;
	/** Takes in a whole entry; `isNews` passes it on. */
	applyEntry: (entry: Entry, isNews: boolean) => void;
	getMembers: () => Member[];
	onChange: (listener: (change: MemberChange) => void) => () => void;
	/** Tells listeners of members that the host list has changed. */
	refreshListed: (change: () => void) => void;
	/** When a host was found gone. */
	getGoneSince: (host: HostId) => Milliseconds | undefined;
	forget: (host: HostId) => void;
};

const isSameMember = (before: Member | undefined, after: Member): boolean =>
	before?.state === after.state && before.incarnation === after.incarnation && before.configurationVersion === after.configurationVersion;

/** Creates the view of a host that knows only itself. */
export const createView = (clock: Clock, self: Entry): View => {
	const table = createTable(self);
	const notes = createNoteStore(clock);
	const [entryRumours, updateRumours, noteRumours] = [createRumours(), createRumours(), createRumours()];
	const suspicions = createSuspicions();
	const listed = createListedHosts(self.host);
	const listeners = new Set<(change: MemberChange) => void>();
	const wants = new Set<HostId>();
	const goneSince = new Map<HostId, Milliseconds>();
	let newestVersion = self.configurationVersion;
	let members: Member[] | undefined;

	const toMember = (entry: Entry): Member => getMember(entry, listed.isLeaving(entry.host, entry.incarnation));
	const getSelf = (): Entry => table.get(self.host) ?? self;

	const tell = (before: Member | undefined, after: Member): void => {
		members = undefined;
		if (isSameMember(before, after)) {
			return;
		}

		for (const listener of listeners) {
			listener({before, after});
		}
	};

	const spread = (before: Entry | undefined, after: Entry, isNews: boolean): void => {
		const isNewVersion = after.configurationVersion > newestVersion;
		newestVersion = Math.max(newestVersion, after.configurationVersion);
		if (before?.incarnation !== after.incarnation) {
			if (isNews) {
				entryRumours.add(after.host, true);
			}
		} else if (before.revision !== after.revision || before.standing !== after.standing) {
			updateRumours.add(after.host, true);
		} else if (before.configurationVersion !== after.configurationVersion) {
			updateRumours.add(after.host, isNewVersion);
		}
	};

	const follow = ({host, standing}: Entry): void => {
		switch (standing) {
			case 'alive': {
				suspicions.end(host);
				goneSince.delete(host);
				break;
			}

			case 'suspected': {
				suspicions.start(host, clock.monotonic(), getSuspicionTimeout(table.getPresent().length));
				break;
			}

			case 'gone': {
				suspicions.end(host);
				goneSince.set(host, goneSince.get(host) ?? clock.monotonic());
				break;
			}
		}
	};

	const finish = (merge: Merge, host: HostId, isNews = true): void => {
		switch (merge.kind) {
			case 'changed': {
				const {before, after} = merge;
				spread(before, after, isNews);
				follow(after);
				tell(before && toMember(before), toMember(after));
				break;
			}

			case 'unknown': {
				wants.add(host);
				break;
			}

			case 'unchanged': {
				break;
			}
		}
	};

	const setSelf = (change: Partial<Update>, isClaim: boolean): void => {
		const known = getSelf();
		const raised = isClaim ? {revision: known.revision + 1} : {beat: known.beat + 1};
		finish(table.applyUpdate({...known, ...raised, ...change}), self.host);
	};

	/** A claim about this host that isn't true is refuted by a higher revision. */
	const refute = (update: Update): void => {
		const known = getSelf();
		const isFalse = update.incarnation === known.incarnation && update.standing !== 'alive' && update.revision >= known.revision;
		if (isFalse && known.standing === 'alive') {
			setSelf({revision: update.revision + 1}, true);
		}
	};

	const applyUpdate = (update: Update): void => {
		if (update.host === self.host) {
			refute(update);
		} else {
			finish(table.applyUpdate(update), update.host);
		}
	};

	return {
		table,
		notes,
		entryRumours,
		updateRumours,
		noteRumours,
		suspicions,
		listed,
		wants,
		getSelf,
		setSelf,
		applyUpdate,
		applyEntry(entry, isNews) {
			if (entry.host === self.host) {
				refute(entry);
			} else {
				wants.delete(entry.host);
				finish(table.applyEntry(entry), entry.host, isNews);
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
		refreshListed(change) {
			const before = new Map(table.getAll().map(entry => [entry.host, toMember(entry)]));
			change();
			for (const entry of table.getAll()) {
				tell(before.get(entry.host), toMember(entry));
			}
		},
		getGoneSince: host => goneSince.get(host),
		forget(host) {
			table.remove(host);
			goneSince.delete(host);
			members = undefined;
		},
	};
};
