import {decode, encode} from '@msgpack/msgpack';
import {announcementTopics, type HostId, type Announcement} from '@gentianlift/types';
import {livenessStates, type MemberEntry, type Update} from '../state/entry.js';
import type {Message, Packet} from './packet.js';

type PackedUpdate = [host: HostId, incarnation: number, revision: number, state: number, attributeRevision: number, version: number, load: number];
type PackedEntry = [...PackedUpdate, zone: string, callerAddress: string, peerAddress: string, gossipAddress: string];
type PackedAnnouncement = [topic: number, key: string, value: string, host: HostId, sequence: number, duration: number];
type PackedMessage = [kind: number, ...rest: Array<string | number>];
type PackedPacket = [
	from: PackedUpdate, to: HostId, sequence: number, presentCount: number, message: PackedMessage,
	updates: PackedUpdate[], entries: PackedEntry[], entryRequests: HostId[], announcements: PackedAnnouncement[],
];

/** Steps in which the load is encoded, so that it takes at most two bytes. */
const loadSteps = 255;
/** Added to the index of the liveness when the host is draining. */
const drainingOffset = livenessStates.length;
const messageKinds = ['ping', 'ack', 'ping-request', 'join', 'page', 'gossip'] as const satisfies Array<Message['kind']>;

const packUpdate = (update: Update): PackedUpdate => [
	update.host,
	update.incarnation,
	update.revision,
	livenessStates.indexOf(update.liveness) + (update.isDraining ? drainingOffset : 0),
	update.attributeRevision,
	update.configurationVersion,
	Math.round(update.load * loadSteps),
];

const packEntry = (entry: MemberEntry): PackedEntry => [
	...packUpdate(entry), entry.zone, entry.callerAddress, entry.peerAddress, entry.gossipAddress,
];

const packAnnouncement = (announcement: Announcement): PackedAnnouncement => [
	announcementTopics.indexOf(announcement.topic), announcement.key, announcement.value, announcement.host, announcement.sequence, announcement.duration,
];

const packMessage = (message: Message): PackedMessage => {
	const kind = messageKinds.indexOf(message.kind);
	switch (message.kind) {
		case 'ack': {
			return [kind, message.sequence, message.target];
		}

		case 'ping-request': {
			return [kind, message.target];
		}

		case 'ping':
		case 'join':
		case 'page':
		case 'gossip': {
			return [kind];
		}
	}
};

const unpackUpdate = (fields: PackedUpdate): Update => {
	const [host, incarnation, revision, state, attributeRevision, configurationVersion, load] = fields;
	const liveness = livenessStates[state % drainingOffset] ?? 'alive';
	return {
		host, incarnation, revision, liveness, isDraining: state >= drainingOffset, attributeRevision, configurationVersion, load: load / loadSteps,
	};
};

const unpackEntry = (fields: PackedEntry): MemberEntry => {
	const [zone, callerAddress, peerAddress, gossipAddress] = fields.slice(7) as [string, string, string, string];
	return {
		...unpackUpdate(fields.slice(0, 7) as PackedUpdate), zone, callerAddress, peerAddress, gossipAddress,
	};
};

const unpackAnnouncement = ([topic, key, value, host, sequence, duration]: PackedAnnouncement): Announcement | undefined => {
	const name = announcementTopics[topic];
	return name === undefined
		? undefined
		: {
			topic: name, key, value, host, sequence, duration,
		};
};

const unpackMessage = ([index, first, second]: PackedMessage): Message => {
	const kind = messageKinds[index] ?? 'gossip';
	switch (kind) {
		case 'ack': {
			return {kind, sequence: Number(first), target: String(second)};
		}

		case 'ping-request': {
			return {kind, target: String(first)};
		}

		case 'ping':
		case 'join':
		case 'page':
		case 'gossip': {
			return {kind};
		}
	}
};

/** Encodes a packet as a msgpack array. */
export const encodePacket = (packet: Packet): Uint8Array => {
	const fields: PackedPacket = [
		packUpdate(packet.from),
		packet.to,
		packet.sequence,
		packet.presentCount,
		packMessage(packet.message),
		packet.updates.map(update => packUpdate(update)),
		packet.entries.map(entry => packEntry(entry)),
		packet.entryRequests,
		packet.announcements.map(announcement => packAnnouncement(announcement)),
	];
	return encode(fields);
};

/** Decodes an authenticated packet; returns undefined when it is malformed, for example because a host with another version sent it. */
export const decodePacket = (bytes: Uint8Array): Packet | undefined => {
	try {
		const [from, to, sequence, presentCount, message, updates, entries, entryRequests, announcements] = decode(bytes) as PackedPacket;
		return {
			from: unpackUpdate(from),
			to,
			sequence,
			presentCount,
			message: unpackMessage(message),
			updates: updates.map(fields => unpackUpdate(fields)),
			entries: entries.map(fields => unpackEntry(fields)),
			entryRequests,
			announcements: announcements.map(fields => unpackAnnouncement(fields)).filter(announcement => announcement !== undefined),
		};
	} catch {
		return undefined;
	}
};

/** Returns the encoded size of an update, in bytes. */
export const getUpdateSize = (update: Update): number => encode(packUpdate(update)).length;

/** Returns the encoded size of an entry, in bytes. */
export const getEntrySize = (entry: MemberEntry): number => encode(packEntry(entry)).length;

/** Returns the encoded size of an announcement, in bytes. */
export const getAnnouncementSize = (announcement: Announcement): number => encode(packAnnouncement(announcement)).length;
