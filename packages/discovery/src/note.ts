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
};

/** Writes a note. */
export const encodeNote = (note: Note): string => JSON.stringify(note);

/** Reads a note; undefined if it isn't one. */
export const decodeNote = (text: string): Note | undefined => {
	try {
		const note = JSON.parse(text) as Partial<Note> | null;
		const {host, incarnation, sequence, loads, readings, crashes} = note ?? {};
		const hasLists = Array.isArray(loads) && Array.isArray(readings) && Array.isArray(crashes);
		const hasOrigin = typeof host === 'string' && typeof incarnation === 'number' && typeof sequence === 'number';
		return hasLists && hasOrigin ? note as Note : undefined;
	} catch {
		return undefined;
	}
};
