import type {HostId} from '@gentianlift/types';
import {mergeUpdate, type Entry, type Update} from './entry.js';

/** What came of an update. `unknown` asks for the whole entry. */
export type Merge
	= | {kind: 'changed'; before: Entry | undefined; after: Entry}
		| {kind: 'unchanged'}
		| {kind: 'unknown'};

/** All hosts that this one knows. */
export type Table = {
	get: (host: HostId) => Entry | undefined;
	getAll: () => Entry[];
	/** Hosts that aren't gone. */
	getPresent: () => Entry[];
	applyUpdate: (update: Update) => Merge;
	applyEntry: (entry: Entry) => Merge;
	remove: (host: HostId) => void;
	/** Some entries in turn, so that repeated calls go through the whole table. */
	getNext: (count: number) => Entry[];
};

const isSame = (before: Entry, after: Entry): boolean =>
	before.revision === after.revision && before.standing === after.standing && before.beat === after.beat;

/** Creates a table that holds only this host. */
export const createTable = (self: Entry): Table => {
	const entries = new Map<HostId, Entry>([[self.host, self]]);
	let order: HostId[] = [self.host];
	let position = 0;

	const set = (before: Entry | undefined, after: Entry): Merge => {
		if (before === undefined) {
			order.push(after.host);
		}

		entries.set(after.host, after);
		return {kind: 'changed', before, after};
	};

	const applyUpdate = (update: Update): Merge => {
		const known = entries.get(update.host);
		if (known === undefined || update.incarnation > known.incarnation) {
			return update.standing === 'gone' ? {kind: 'unchanged'} : {kind: 'unknown'};
		}

		if (update.incarnation < known.incarnation) {
			return {kind: 'unchanged'};
		}

		const after = mergeUpdate(known, update);
		return isSame(known, after) ? {kind: 'unchanged'} : set(known, after);
	};

	return {
		get: host => entries.get(host),
		getAll: () => [...entries.values()],
		getPresent: () => [...entries.values()].filter(entry => entry.standing !== 'gone'),
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
		getNext(count) {
			const chosen: Entry[] = [];
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
