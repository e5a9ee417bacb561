import {decode, encode} from '@msgpack/msgpack';
import {noteTopics, type HostId, type Note} from '@gentianlift/types';
import {standings, type Entry, type Update} from '../state/entry.js';
import type {Content, Packet} from './packet.js';

type UpdateFields = [host: HostId, incarnation: number, revision: number, state: number, beat: number, version: number, load: number];
type EntryFields = [...UpdateFields, zone: string, callerAddress: string, peerAddress: string, gossipAddress: string];
type NoteFields = [topic: number, key: string, value: string, host: HostId, sequence: number, duration: number];
type ContentFields = [kind: number, ...rest: Array<string | number>];
type PacketFields = [
	from: UpdateFields, to: HostId, sequence: number, present: number, content: ContentFields, updates: UpdateFields[], entries: EntryFields[], wants: HostId[], notes: NoteFields[],
];

const loadSteps = 255;
const drainingOffset = standings.length;
const contentKinds = ['ping', 'ack', 'ping-request', 'join', 'page', 'gossip'] as const satisfies Array<Content['kind']>;

const getUpdateFields = (update: Update): UpdateFields => [
	update.host,
	update.incarnation,
	update.revision,
	standings.indexOf(update.standing) + (update.isDraining ? drainingOffset : 0),
	update.beat,
	update.configurationVersion,
	Math.round(update.load * loadSteps),
];

const getEntryFields = (entry: Entry): EntryFields => [
	...getUpdateFields(entry), entry.zone, entry.callerAddress, entry.peerAddress, entry.gossipAddress,
];

const getNoteFields = (note: Note): NoteFields => [
	noteTopics.indexOf(note.topic), note.key, note.value, note.host, note.sequence, note.duration,
];

const getContentFields = (content: Content): ContentFields => {
	const kind = contentKinds.indexOf(content.kind);
	switch (content.kind) {
		case 'ack': {
			return [kind, content.sequence, content.about];
		}

		case 'ping-request': {
			return [kind, content.target];
		}

		case 'ping':
		case 'join':
		case 'page':
		case 'gossip': {
			return [kind];
		}
	}
};

const getUpdate = (fields: UpdateFields): Update => {
	const [host, incarnation, revision, state, beat, configurationVersion, load] = fields;
	const standing = standings[state % drainingOffset] ?? 'alive';
	return {
		host, incarnation, revision, standing, isDraining: state >= drainingOffset, beat, configurationVersion, load: load / loadSteps,
	};
};

const getEntry = (fields: EntryFields): Entry => {
	const [zone, callerAddress, peerAddress, gossipAddress] = fields.slice(7) as [string, string, string, string];
	return {
		...getUpdate(fields.slice(0, 7) as UpdateFields), zone, callerAddress, peerAddress, gossipAddress,
	};
};

const getNote = ([topic, key, value, host, sequence, duration]: NoteFields): Note | undefined => {
	const name = noteTopics[topic];
	return name === undefined
		? undefined
		: {
			topic: name, key, value, host, sequence, duration,
		};
};

const getContent = ([index, first, second]: ContentFields): Content => {
	const kind = contentKinds[index] ?? 'gossip';
	switch (kind) {
		case 'ack': {
			return {kind, sequence: Number(first), about: String(second)};
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

/** Encodes a packet. */
export const encodePacket = (packet: Packet): Uint8Array => {
	const fields: PacketFields = [
		getUpdateFields(packet.from),
		packet.to,
		packet.sequence,
		packet.present,
		getContentFields(packet.content),
		packet.updates.map(update => getUpdateFields(update)),
		packet.entries.map(entry => getEntryFields(entry)),
		packet.wants,
		packet.notes.map(note => getNoteFields(note)),
	];
	return encode(fields);
};

/** Decodes a packet that has been authenticated; undefined when it isn't one, as from another version. */
export const decodePacket = (bytes: Uint8Array): Packet | undefined => {
	try {
		const [from, to, sequence, present, content, updates, entries, wants, notes] = decode(bytes) as PacketFields;
		return {
			from: getUpdate(from),
			to,
			sequence,
			present,
			content: getContent(content),
			updates: updates.map(fields => getUpdate(fields)),
			entries: entries.map(fields => getEntry(fields)),
			wants,
			notes: notes.map(fields => getNote(fields)).filter(note => note !== undefined),
		};
	} catch {
		return undefined;
	}
};

/** Size of an update in a packet, in bytes. */
export const getUpdateSize = (update: Update): number => encode(getUpdateFields(update)).length;

/** Size of an entry in a packet, in bytes. */
export const getEntrySize = (entry: Entry): number => encode(getEntryFields(entry)).length;

/** Size of a note in a packet, in bytes. */
export const getNoteSize = (note: Note): number => encode(getNoteFields(note)).length;
