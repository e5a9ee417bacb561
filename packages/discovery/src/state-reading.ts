import type {Entry, StateReading} from '@gentianlift/types';
import type {ClassifiedEntry, RoomedEntry} from './entry-classifier.js';
import type {ForeignEntries} from './foreign-entries.js';
import {createEntryRoom} from './entry-room.js';
import type {NamedServices} from './named-services.js';

/** Reading of the whole state for a view: keeps as much as a view holds, and none of what names nothing. */
export type ViewReading = StateReading & {
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
	let isIncomplete = false;

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
		add(entry) {
			const classified = classify(entry);
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
		},
		getEntries: () => [...configurations.values(), ...room.values(), ...held.values()],
		isOversized: () => false,
		has: storeKey => room.get(storeKey) !== undefined || held.has(storeKey) || configurations.has(storeKey),
		isUnsound: storeKey => unsound.has(storeKey),
		isIncomplete: () => isIncomplete,
	};
};
