import type {HostId, Note} from '@gentianlift/types';
import type {Entry, Update} from '../state/entry.js';
import {getNoteKey, type NoteStore} from '../state/note-store.js';
import type {Rumours} from '../state/rumours.js';
import type {Table} from '../state/table.js';
import {getEntrySize, getNoteSize, getUpdateSize} from '../wire/codec.js';
import type {Packet} from '../wire/packet.js';
import {
	entrySends, getSendLimit, maxDatagram, repeatedUpdates,
} from './timing.js';

/** What a message takes along beside its content. */
export type Cargo = Pick<Packet, 'updates' | 'entries' | 'wants' | 'notes'>;

/** What is known and still to be passed on. */
export type Knowledge = {
	table: Table;
	notes: NoteStore;
	/** Hosts whose entry is new, with their addresses. */
	entryRumours: Rumours;
	/** Hosts whose state changed. */
	updateRumours: Rumours;
	noteRumours: Rumours;
};

/** Bytes kept for the signature, the sender's state, the content and the wants. */
const reservedBytes = 240;
const maxWants = 6;

const takeItems = <Item>(rumours: Rumours, options: {room: number; limit: number; getItem: (key: string) => Item | undefined; getSize: (item: Item) => number}): {items: Item[]; left: number} => {
	const items: Item[] = [];
	let left = options.room;
	for (const key of rumours.getKeys()) {
		const item = options.getItem(key);
		if (item === undefined) {
			rumours.remove(key);
			continue;
		}

		const size = options.getSize(item);
		if (size > left) {
			break;
		}

		left -= size;
		items.push(item);
		rumours.markSent(key, options.limit);
	}

	return {items, left};
};

const getRepeated = (table: Table, room: number, known: Set<HostId>): Update[] => {
	const repeated: Update[] = [];
	let left = room;
	for (const entry of table.getNext(repeatedUpdates)) {
		const size = getUpdateSize(entry);
		if (entry.standing !== 'gone' && !known.has(entry.host) && size <= left) {
			left -= size;
			repeated.push(entry);
		}
	}

	return repeated;
};

/** Takes the news that fit into one message, and fills it up with a part of the table. */
export const takeCargo = (knowledge: Knowledge, wants: Set<HostId>): Cargo => {
	const {table, notes, entryRumours, updateRumours, noteRumours} = knowledge;
	const limit = getSendLimit(table.getPresent().length);
	const getItem = (host: HostId): Entry | undefined => table.get(host);
	const updates = takeItems<Update>(updateRumours, {
		room: maxDatagram - reservedBytes, limit, getItem, getSize: getUpdateSize,
	});
	const taken = takeItems<Note>(noteRumours, {
		room: updates.left, limit, getItem: key => notes.get(key), getSize: getNoteSize,
	});
	const entries = takeItems<Entry>(entryRumours, {
		room: taken.left, limit: entrySends, getItem, getSize: getEntrySize,
	});
	const known = new Set([...updates.items, ...entries.items].map(({host}) => host));
	const wanted = [...wants].slice(0, maxWants);
	for (const host of wanted) {
		wants.delete(host);
	}

	return {
		updates: [...updates.items, ...getRepeated(table, entries.left, known)], entries: entries.items, notes: taken.items, wants: wanted,
	};
};

/** Splits entries and notes into as many messages as they need. */
export const getPages = (entries: Entry[], notes: Note[]): Cargo[] => {
	const pages: Cargo[] = [];
	let left = 0;
	const getPage = (size: number): Cargo => {
		const last = pages.at(-1);
		if (last !== undefined && size <= left) {
			left -= size;
			return last;
		}

		const page: Cargo = {
			updates: [], entries: [], wants: [], notes: [],
		};
		pages.push(page);
		left = maxDatagram - reservedBytes - size;
		return page;
	};

	for (const entry of entries) {
		getPage(getEntrySize(entry)).entries.push(entry);
	}

	for (const note of notes) {
		getPage(getNoteSize(note)).notes.push(note);
	}

	return pages;
};

/** Notes that a note is news. */
export const spreadNote = ({noteRumours}: Knowledge, note: Note): void => {
	noteRumours.add(getNoteKey(note), true);
};
