import type {Change, Entry, StateReading} from '@gentianlift/types';
import {getChangeRevision} from './checked-entries.js';
import type {ClassifiedEntry, RoomedEntry} from './entry-classifier.js';
import type {ForeignEntries} from './foreign-entries.js';
import {createEntryRoom} from './entry-room.js';
import type {NamedServices} from './named-services.js';

/** Reading of the whole state for a view: keeps as much as a view holds, and none of what names nothing. */
export type ViewReading = StateReading & {
	/** Takes in a change that the view learns of while the state is read. */
	follow: (change: Change) => void;
	/** Whether an entry was read under a key, though it may have found no room. */
	has: (storeKey: string) => boolean;
	/** Whether what was read last under a key that the view holds names nothing any more. */
	isUnsound: (storeKey: string) => boolean;
	/** Whether there was no room for some entries. */
	isIncomplete: () => boolean;
};

/** Options of a reading. */
export type ViewReadingOptions = {
	classify: (entry: Entry) => ClassifiedEntry;
	foreign: ForeignEntries;
	/** Whether the view holds an entry under a key. */
	isHeld: (storeKey: string) => boolean;
	/** The services that the view knows as named. */
	services: NamedServices;
};

/** Begins a reading. */
export const createViewReading = ({classify, foreign, isHeld, services: known}: ViewReadingOptions): ViewReading => {
	const services = known.copy();
	const room = createEntryRoom(services);
	const configurations = new Map<string, Entry>();
	/** Entries under keys that the view holds, for which the reading has no room; the view has. */
	const held = new Map<string, Entry>();
	const unsound = new Set<string>();
	/** Revisions of changes after which nothing is left under a key; pages that were read before may still have it. */
	const removals = new Map<string, number>();
	let isIncomplete = false;

	const forget = (storeKey: string): void => {
		room.delete(storeKey);
		held.delete(storeKey);
	};

	/** Whether something newer than an entry is known under its key. */
	const isOutdated = ({key, revision}: Entry): boolean =>
		Math.max(room.get(key)?.revision ?? 0, held.get(key)?.revision ?? 0, removals.get(key) ?? 0) > revision;

	const noteForeign = (entry: Entry, reason: string | undefined): void => {
		foreign.add(entry, reason);
		if (isHeld(entry.key)) {
			unsound.add(entry.key);
		}
	};

	const keep = (classified: RoomedEntry): void => {
		const {entry} = classified;
		unsound.delete(entry.key);
		const {isHeld: hasRoom, displaced} = room.put(classified);
		if (!hasRoom && isHeld(entry.key)) {
			held.set(entry.key, entry);
		}

		isIncomplete ||= displaced.length > 0 || (!hasRoom && !isHeld(entry.key));
	};

	const add = (entry: Entry): void => {
		const classified = classify(entry);
		if (isOutdated(entry)) {
			return;
		}

		switch (classified.kind) {
			case 'foreign': {
				noteForeign(entry, classified.reason);
				break;
			}

			case 'configuration': {
				configurations.set(entry.key, entry);
				services.update(classified.configuration);
				room.rankAgain();
				break;
			}

			case 'upstream':
			case 'host':
			case 'record': {
				keep(classified);
				break;
			}
		}
	};

	foreign.beginReading();
	return {
		position: {after: '', revision: undefined},
		select(entry) {
			const classified = classify(entry);
			if (classified.kind === 'foreign') {
				noteForeign(entry, classified.reason);
				return undefined;
			}

			return classified.entry;
		},
		add,
		follow(change) {
			if (change.kind === 'written' && classify(change.entry).kind !== 'foreign') {
				add(change.entry);
				return;
			}

			const {key} = change.kind === 'written' ? change.entry : change;
			forget(key);
			unsound.delete(key);
			removals.set(key, getChangeRevision(change));
			if (change.kind === 'written') {
				add(change.entry);
			}
		},
		getEntries: () => [...configurations.values(), ...room.values(), ...held.values()],
		isOversized: () => false,
		has: storeKey => room.get(storeKey) !== undefined || held.has(storeKey) || configurations.has(storeKey),
		isUnsound: storeKey => unsound.has(storeKey),
		isIncomplete: () => isIncomplete,
	};
};
