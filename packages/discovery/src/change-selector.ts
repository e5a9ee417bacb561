import type {Change, Entry, Select} from '@gentianlift/types';
import type {ClassifiedEntry} from './entry-classifier.js';
import type {ForeignEntries} from './foreign-entries.js';

/** Options of a selector. */
export type ChangeSelectorOptions = {
	classify: (entry: Entry) => ClassifiedEntry;
	foreign: ForeignEntries;
	/** Whether the view holds an entry under a key, or another host or a reading under way may hold one that it has left out. */
	mayBeKnown: (storeKey: string) => boolean;
};

/** Creates what selects the changes of one reply while it arrives: those of entries that name something, or that are known or will be by an earlier change. An entry that names nothing any more is kept without its value. */
export const createChangeSelector = ({classify, foreign, mayBeKnown}: ChangeSelectorOptions): Select<Change> => {
	const selectedKeys = new Set<string>();
	const isKnown = (storeKey: string): boolean => selectedKeys.has(storeKey) || mayBeKnown(storeKey);
	return change => {
		if (change.kind === 'removed') {
			foreign.remove(change.key);
			return isKnown(change.key) ? change : undefined;
		}

		const {entry} = change;
		const classified = classify(entry);
		if (classified.kind !== 'foreign') {
			selectedKeys.add(entry.key);
			return {kind: 'written', entry: classified.entry};
		}

		foreign.add(entry, classified.reason);
		return isKnown(entry.key) ? {kind: 'written', entry: {...entry, value: ''}} : undefined;
	};
};
