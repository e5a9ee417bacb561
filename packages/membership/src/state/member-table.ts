import type {HostId} from '@gentianlift/types';
import {mergeUpdate, type MemberEntry, type Update} from './entry.js';

/** Result of applying an update; `unknown` means that the full entry has to be requested. */
export type MergeResult
	= | {kind: 'changed'; before: MemberEntry | undefined; after: MemberEntry}
		| {kind: 'unchanged'}
		| {kind: 'unknown'};

/** All hosts known to this one, with what is known of each. */
export type MemberTable = {
	get: (host: HostId) => MemberEntry | undefined;
	getAll: () => MemberEntry[];
	/** Returns the entries of hosts that aren't gone. */
	getPresentEntries: () => MemberEntry[];
	applyUpdate: (update: Update) => MergeResult;
	applyEntry: (entry: MemberEntry) => MergeResult;
	remove: (host: HostId) => void;
	/** Returns up to `count` entries, round-robin, so that repeated calls cover the whole table. */
	getNextEntries: (count: number) => MemberEntry[];
};

const isUnchanged = (before: MemberEntry, after: MemberEntry): boolean =>
	before.revision === after.revision && before.liveness === after.liveness && before.attributeRevision === after.attributeRevision;

/** Creates a table that contains only this host. */
export const createMemberTable = (self: MemberEntry): MemberTable => {
	const entries = new Map<HostId, MemberEntry>([[self.host, self]]);
	let order: HostId[] = [self.host];
	let position = 0;

	const set = (before: MemberEntry | undefined, after: MemberEntry): MergeResult => {
		if (before === undefined) {
			order.push(after.host);
		}

		entries.set(after.host, after);
		return {kind: 'changed', before, after};
	};

	const applyUpdate = (update: Update): MergeResult => {
		const known = entries.get(update.host);
		if (known === undefined || update.incarnation > known.incarnation) {
			return update.liveness === 'gone' ? {kind: 'unchanged'} : {kind: 'unknown'};
		}

		if (update.incarnation < known.incarnation) {
			return {kind: 'unchanged'};
		}

		const after = mergeUpdate(known, update);
		return isUnchanged(known, after) ? {kind: 'unchanged'} : set(known, after);
	};

	return {
		get: host => entries.get(host),
		getAll: () => [...entries.values()],
		getPresentEntries: () => [...entries.values()].filter(entry => entry.liveness !== 'gone'),
		applyUpdate,
		applyEntry(entry) {
			const known = entries.get(entry.host);
			if (known === undefined || entry.incarnation > known.incarnation) {
				return set(known, entry);
			}

			return applyUpdate(entry);
		},
		remove(host) {
			entries.delete(host);
			order = order.filter(other => other !== host);
		},
		getNextEntries(count) {
			const chosen: MemberEntry[] = [];
			for (let step = 0; step < Math.min(count, order.length); step++) {
				position = (position + 1) % order.length;
				const entry = entries.get(order[position] ?? '');
				if (entry !== undefined) {
					chosen.push(entry);
				}
			}

			return chosen;
		},
	};
};
