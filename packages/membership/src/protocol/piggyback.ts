import type {HostId, Announcement} from '@gentianlift/types';
import type {MemberEntry, Update} from '../state/entry.js';
import {getAnnouncementKey, type AnnouncementStore} from '../state/announcement-store.js';
import type {DisseminationQueue} from '../state/dissemination-queue.js';
import type {MemberTable} from '../state/member-table.js';
import {getEntrySize, getAnnouncementSize, getUpdateSize} from '../wire/codec.js';
import type {Packet} from '../wire/packet.js';
import {
	entryTransmissions, getTransmissionLimit, maxDatagramBytes, antiEntropyUpdates,
} from './timing.js';

/** Updates, entries, entry requests and announcements piggybacked on a message. */
export type Piggyback = Pick<Packet, 'updates' | 'entries' | 'entryRequests' | 'announcements'>;

/** Known facts, and queues of those that are still to be disseminated. */
export type DisseminationState = {
	table: MemberTable;
	announcements: AnnouncementStore;
	/** Hosts with a new incarnation, whose full entry is transmitted. */
	entryQueue: DisseminationQueue;
	/** Hosts whose state changed within their incarnation, of which only the update is transmitted. */
	updateQueue: DisseminationQueue;
	announcementQueue: DisseminationQueue;
};

/** Bytes reserved for the signature, the sender's state, the message and the entry requests. */
const reservedBytes = 240;
/** Maximum number of entries requested in one packet. */
const maxEntryRequests = 6;

const takeItems = <Item>(
	queue: DisseminationQueue,
	options: {availableBytes: number; limit: number; getItem: (key: string) => Item | undefined; getSize: (item: Item) => number},
): {items: Item[]; remainingBytes: number} => {
	const items: Item[] = [];
	let remainingBytes = options.availableBytes;
	for (const key of queue.getKeys()) {
		const item = options.getItem(key);
		if (item === undefined) {
			queue.remove(key);
			continue;
		}

		const size = options.getSize(item);
		if (size > remainingBytes) {
			break;
		}

		remainingBytes -= size;
		items.push(item);
		queue.recordTransmission(key, options.limit);
	}

	return {items, remainingBytes};
};

const getAntiEntropyUpdates = (table: MemberTable, availableBytes: number, included: Set<HostId>): Update[] => {
	const updates: Update[] = [];
	let remainingBytes = availableBytes;
	for (const entry of table.getNextEntries(antiEntropyUpdates)) {
		const size = getUpdateSize(entry);
		if (entry.liveness !== 'gone' && !included.has(entry.host) && size <= remainingBytes) {
			remainingBytes -= size;
			updates.push(entry);
		}
	}

	return updates;
};

/** Takes queued facts that fit into one packet, and fills the remaining space with updates from the member table (anti-entropy). */
export const takePiggyback = (state: DisseminationState, entryRequests: Set<HostId>): Piggyback => {
	const {table, announcements, entryQueue, updateQueue, announcementQueue} = state;
	const limit = getTransmissionLimit(table.getPresentEntries().length);
	const getItem = (host: HostId): MemberEntry | undefined => table.get(host);
	const updates = takeItems<Update>(updateQueue, {
		availableBytes: maxDatagramBytes - reservedBytes, limit, getItem, getSize: getUpdateSize,
	});
	const takenAnnouncements = takeItems<Announcement>(announcementQueue, {
		availableBytes: updates.remainingBytes, limit, getItem: key => announcements.get(key), getSize: getAnnouncementSize,
	});
	const entries = takeItems<MemberEntry>(entryQueue, {
		availableBytes: takenAnnouncements.remainingBytes, limit: entryTransmissions, getItem, getSize: getEntrySize,
	});
	const included = new Set([...updates.items, ...entries.items].map(({host}) => host));
	const requested = [...entryRequests].slice(0, maxEntryRequests);
	for (const host of requested) {
		entryRequests.delete(host);
	}

	return {
		updates: [...updates.items, ...getAntiEntropyUpdates(table, entries.remainingBytes, included)], entries: entries.items, announcements: takenAnnouncements.items, entryRequests: requested,
	};
};

/** Splits entries and announcements into as many pages as they need, each small enough for one packet. */
export const createPages = (entries: MemberEntry[], announcements: Announcement[]): Piggyback[] => {
	const pages: Piggyback[] = [];
	let remainingBytes = 0;
	const getPageWithRoom = (size: number): Piggyback => {
		const last = pages.at(-1);
		if (last !== undefined && size <= remainingBytes) {
			remainingBytes -= size;
			return last;
		}

		const page: Piggyback = {
			updates: [], entries: [], entryRequests: [], announcements: [],
		};
		pages.push(page);
		remainingBytes = maxDatagramBytes - reservedBytes - size;
		return page;
	};

	for (const entry of entries) {
		getPageWithRoom(getEntrySize(entry)).entries.push(entry);
	}

	for (const announcement of announcements) {
		getPageWithRoom(getAnnouncementSize(announcement)).announcements.push(announcement);
	}

	return pages;
};

/** Queues an announcement for dissemination as an urgent fact. */
export const queueAnnouncement = ({announcementQueue}: DisseminationState, announcement: Announcement): void => {
	announcementQueue.add(getAnnouncementKey(announcement), true);
};
