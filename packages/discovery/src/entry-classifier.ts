import type {RoutingConfiguration, Upstream} from '@gentianlift/routing';
import type {Entry} from '@gentianlift/types';
import {maxWholeLength, type DecodedEntry} from './decoded-entry.js';
import {isTooLong, maxKeyLength} from './entry-decoder.js';
import {hostPrefix, parseHostRecord, type HostRecord} from './host-record.js';

/** What an entry of the store is to a host. One that is `foreign` names nothing: it can't be read, for a reason, or is of no known kind. `entry` is what is held of it. */
export type ClassifiedEntry
	= | {kind: 'configuration'; entry: Entry; configuration: RoutingConfiguration}
		| {kind: 'upstream'; entry: Entry; upstream: Upstream}
		| {kind: 'host'; entry: Entry; record: HostRecord}
		/** Of this program, and read by its key; what reads it knows one that is unreadable from one that isn't there. */
		| {kind: 'record'; entry: Entry; isReadable: boolean}
		| {kind: 'foreign'; reason: string | undefined};

/** An entry that takes room. */
export type RoomedEntry = Exclude<ClassifiedEntry, {kind: 'configuration' | 'foreign'}>;

/** What an entry that neither the operators nor an upstream have written is to the parts of this program that read entries by their keys: `none` of theirs, or one of them. */
export type RecordClass = 'readable' | 'unreadable' | 'none';

/** Options of a classifier. */
export type EntryClassifierOptions = {
	/** Decodes an entry; never throws. */
	decode: (entry: Entry) => DecodedEntry;
	classifyRecord: (entry: Entry) => RecordClass;
};

/** Returns an entry with a short text in place of a long value. */
const shorten = (entry: Entry, getText: () => string): Entry => entry.value.length > maxWholeLength ? {...entry, value: getText()} : entry;

const classifyHost = (entry: Entry): ClassifiedEntry => {
	const record = isTooLong(entry) ? undefined : parseHostRecord(entry.value);
	return record === undefined ? {kind: 'foreign', reason: 'not a host record'} : {kind: 'host', entry: shorten(entry, () => JSON.stringify(record)), record};
};

/** Creates a function that classifies an entry, each once: it is asked for while the entry arrives and again when it is applied. */
export const createEntryClassifier = ({decode, classifyRecord}: EntryClassifierOptions): ((entry: Entry) => ClassifiedEntry) => {
	const known = new WeakMap<Entry, ClassifiedEntry>();

	const classifyOther = (entry: Entry): ClassifiedEntry => {
		switch (classifyRecord(entry)) {
			case 'readable': {
				return {kind: 'record', entry, isReadable: true};
			}

			case 'unreadable': {
				return {kind: 'record', entry: shorten(entry, () => ''), isReadable: false};
			}

			case 'none': {
				return {kind: 'foreign', reason: undefined};
			}
		}
	};

	const classifyDecoded = (entry: Entry): ClassifiedEntry => {
		const decoded = decode(entry);
		switch (decoded.kind) {
			case 'configuration': {
				return {kind: 'configuration', entry, configuration: decoded.configuration};
			}

			case 'upstream': {
				const {upstream, text} = decoded;
				return {kind: 'upstream', entry: shorten(entry, () => text ?? entry.value), upstream};
			}

			case 'unreadable': {
				return {kind: 'foreign', reason: decoded.reason};
			}

			case 'other': {
				return classifyOther(entry);
			}
		}
	};

	const classifyNew = (entry: Entry): ClassifiedEntry => {
		if (entry.key.length > maxKeyLength) {
			return {kind: 'foreign', reason: 'key too long'};
		}

		return entry.key.startsWith(hostPrefix) ? classifyHost(entry) : classifyDecoded(entry);
	};

	return entry => {
		const classified = known.get(entry) ?? classifyNew(entry);
		known.set(entry, classified);
		if (classified.kind !== 'foreign') {
			known.set(classified.entry, classified);
		}

		return classified;
	};
};
