import type {Logger} from '@gentianlift/logger';
import type {RoutingConfiguration} from '@gentianlift/routing';
import type {Change, Entry, Select} from '@gentianlift/types';
import {createChangeSelector} from './change-selector.js';
import type {DecodedEntry} from './decoded-entry.js';
import {
	createEntryClassifier, type ClassifiedEntry, type EntryClassifierOptions, type RoomedEntry,
} from './entry-classifier.js';
import {createEntryRoom, type EntryRoom} from './entry-room.js';
import {createForeignEntries, type ForeignEntries} from './foreign-entries.js';
import type {ListedHosts} from './listed-hosts.js';
import type {ListedUpstreams} from './listed-upstreams.js';
import {createNamedServices} from './named-services.js';
import type {NewestConfiguration} from './newest-configuration.js';
import {createViewReading, type ViewReading} from './state-reading.js';

/** The entries of the store that a view knows, and what they name. */
export type KnownEntries = Pick<EntryRoom, 'get' | 'keys' | 'values' | 'count'> & Pick<ForeignEntries, 'countUnreadable' | 'getTotals'> & {
	/** Applies an entry, unless a newer one is known under its key. */
	apply: (entry: Entry) => void;
	/** Applies an entry that holds a configuration; there is always room for it. */
	applyConfiguration: (entry: Entry, decoded: DecodedEntry) => void;
	/** Takes the services of a newer configuration over: upstreams of services that none names make room for those of services that it names. */
	applyServices: (configuration: RoutingConfiguration) => void;
	/** Removes an entry for a reason, for the log. */
	remove: (storeKey: string, reason: string) => void;
	/** Applies that an entry names nothing any more. */
	applyUnsound: (storeKey: string) => void;
	createReading: () => ViewReading;
	createChangeSelector: () => Select<Change>;
	/** Records that the whole state was read, and is about to be applied. */
	endReading: () => void;
	/** Records that there was no room for entries, such as one under the key. */
	noteIncomplete: (storeKey?: string) => void;
	/** Whether entries of the store were left out, as there was no room for them. */
	isIncomplete: () => boolean;
	/** Whether entries were left out for which there may be room by now, as others are gone or a newer configuration names other services. */
	canBeCompleted: () => boolean;
};

/** Options of the entries. */
export type KnownEntriesOptions = EntryClassifierOptions & {
	upstreams: ListedUpstreams;
	hosts: ListedHosts;
	configuration: NewestConfiguration;
	logger: Logger;
	/** Returns the revision of the store, for the log. */
	getRevision: () => number;
};

/** Creates it without entries. */
export const createKnownEntries = ({
	decode, classifyRecord, upstreams, hosts, configuration, logger, getRevision,
}: KnownEntriesOptions): KnownEntries => {
	const classify = createEntryClassifier({decode, classifyRecord});
	const services = createNamedServices();
	const entries = createEntryRoom(services);
	const foreign = createForeignEntries(logger);
	let isIncomplete = false;
	/** Whether the services have changed since entries were left out. */
	let haveServicesChanged = false;

	const noteIncomplete = (storeKey?: string): void => {
		if (!isIncomplete) {
			logger.warn('view-full', {key: storeKey, held: entries.count(), revision: getRevision()});
			haveServicesChanged = false;
		}

		isIncomplete = true;
	};

	const isHeld = (storeKey: string): boolean => entries.get(storeKey) !== undefined;

	const remove = (storeKey: string, reason: string): void => {
		foreign.remove(storeKey);
		entries.delete(storeKey);
		hosts.remove(storeKey);
		upstreams.remove(storeKey, reason);
	};

	const applyConfiguration = (entry: Entry, decoded: DecodedEntry): void => {
		entries.delete(entry.key);
		foreign.remove(entry.key);
		configuration.apply(entry, () => decoded);
	};

	/** A host stays listed by its last record, as its lease hasn't ended. */
	const applyUnsound = (storeKey: string): void => {
		if (isHeld(storeKey) && !hosts.has(storeKey)) {
			entries.delete(storeKey);
			upstreams.remove(storeKey, 'unreadable');
		}
	};

	const list = (classified: RoomedEntry): void => {
		switch (classified.kind) {
			case 'host': {
				hosts.apply(classified.entry.key, classified.record);
				break;
			}

			case 'upstream': {
				upstreams.apply(classified.entry.key, classified.upstream);
				break;
			}

			case 'record': {
				break;
			}
		}
	};

	const applySound = (classified: RoomedEntry): void => {
		const {entry} = classified;
		foreign.remove(entry.key);
		const {isHeld: hasRoom, displaced} = entries.put(classified);
		for (const storeKey of displaced) {
			upstreams.remove(storeKey, 'no-room');
			noteIncomplete(storeKey);
		}

		if (hasRoom) {
			list(classified);
		} else {
			noteIncomplete(entry.key);
		}
	};

	const applyClassified = (entry: Entry, classified: ClassifiedEntry): void => {
		switch (classified.kind) {
			case 'foreign': {
				foreign.add(entry, classified.reason);
				applyUnsound(entry.key);
				break;
			}

			case 'configuration': {
				applyConfiguration(entry, {kind: 'configuration', configuration: classified.configuration});
				break;
			}

			case 'host':
			case 'record':
			case 'upstream': {
				applySound(classified);
				break;
			}
		}
	};

	return {
		...entries,
		countUnreadable: foreign.countUnreadable,
		getTotals: foreign.getTotals,
		apply(entry) {
			if (configuration.isKey(entry.key)) {
				configuration.apply(entry, decode);
			} else if ((entries.get(entry.key)?.revision ?? Number.NEGATIVE_INFINITY) < entry.revision) {
				applyClassified(entry, classify(entry));
			}
		},
		applyConfiguration,
		applyServices(newer) {
			services.update(newer);
			entries.rankAgain();
			haveServicesChanged = true;
		},
		remove,
		applyUnsound,
		createReading: () => createViewReading({
			classify, foreign, isHeld, services,
		}),
		createChangeSelector: () => createChangeSelector({classify, foreign, mayBeKnown: storeKey => isIncomplete || isHeld(storeKey) || configuration.isKey(storeKey)}),
		endReading() {
			foreign.endReading();
			isIncomplete = false;
			haveServicesChanged = false;
		},
		noteIncomplete,
		isIncomplete: () => isIncomplete,
		canBeCompleted: () => isIncomplete && (haveServicesChanged || entries.hasRoom()),
	};
};
