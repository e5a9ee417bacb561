import type {Crash, PromptPart, UpstreamKey} from '@gentianlift/routing';
import type {HostId, Incarnation} from '@gentianlift/types';
import type {LoadShare} from './load-book.js';

/** Parts of a prompt that an upstream was asked to read. */
export type Reading = {upstream: UpstreamKey; model: string; parts: readonly PromptPart[]};

/** A datagram between hosts: what one of them causes and has seen. Losing one costs only freshness. */
export type Note = {
	host: HostId;
	incarnation: Incarnation;
	sequence: number;
	/** Revision of the key-value service that the host knows. */
	revision: number;
	isStopping: boolean;
	/** Loads that changed, or all. */
	loads: LoadShare[];
	readings: Reading[];
	crashes: Crash[];
	/** Fingerprints of requests that ran to their end after all. */
	cleared: string[];
};

/** A note as it is sent: lists in place of records, as most bytes between hosts are notes. */
type Packet = [
	host: HostId,
	incarnation: Incarnation,
	sequence: number,
	revision: number,
	isStopping: 0 | 1,
	loads: Array<[upstream: UpstreamKey, running: number, unreadTokens: number, delicate: number, awaitedTokens: number]>,
	readings: Array<[upstream: UpstreamKey, model: string, parts: Array<[id: string, tokens: number]>]>,
	crashes: Array<[fingerprint: string, upstream: UpstreamKey]>,
	cleared: string[],
];

/** Writes a note. */
export const encodeNote = (note: Note): string => {
	const packet: Packet = [
		note.host,
		note.incarnation,
		note.sequence,
		note.revision,
		note.isStopping ? 1 : 0,
		note.loads.map(load => [load.upstream, load.running, load.unreadTokens, load.delicate, load.awaitedTokens]),
		note.readings.map(({upstream, model, parts}) => [upstream, model, parts.map(({id, tokens}) => [id, tokens])]),
		note.crashes.map(({fingerprint, upstream}) => [fingerprint, upstream]),
		note.cleared,
	];
	return JSON.stringify(packet);
};

const isPacket = (value: unknown): value is Packet => {
	if (!Array.isArray(value)) {
		return false;
	}

	const [host, incarnation, sequence, revision, , loads, readings, crashes, cleared] = value as unknown[];
	return typeof host === 'string'
		&& [incarnation, sequence, revision].every(number => typeof number === 'number')
		&& Array.isArray(cleared)
		&& [loads, readings, crashes].every(list => Array.isArray(list) && list.every(item => Array.isArray(item)));
};

const parsePacket = (text: string): Packet | undefined => {
	try {
		const value: unknown = JSON.parse(text);
		return isPacket(value) ? value : undefined;
	} catch {
		return undefined;
	}
};

/** Reads a note; undefined if it isn't one. */
export const decodeNote = (text: string): Note | undefined => {
	const packet = parsePacket(text);
	if (packet === undefined) {
		return undefined;
	}

	const [host, incarnation, sequence, revision, isStopping, loads, readings, crashes, cleared] = packet;
	return {
		host,
		incarnation,
		sequence,
		revision,
		isStopping: isStopping === 1,
		loads: loads.map(([upstream, running, unreadTokens, delicate, awaitedTokens]) => ({
			upstream, running, unreadTokens, delicate, awaitedTokens,
		})),
		readings: readings.map(([upstream, model, parts]) => ({upstream, model, parts: parts.map(([id, tokens]) => ({id, tokens}))})),
		crashes: crashes.map(([fingerprint, upstream]) => ({fingerprint, upstream})),
		cleared,
	};
};
