import type {IncomingHttpHeaders} from 'node:http';
import type {JsonCall, JsonClient, JsonOutcome} from './json-client.js';
import type {ItemReader} from './reply-scanner.js';

/**
A store that is restored from an older copy loses what was written since, and gives out revisions and leases a second time. Its era rises with each restore. Revisions that carry their era are never given out twice, and those of a later era compare as greater.
*/

/** Number of a restore; 0 for a store that names none. */
export type Era = number;

/** Revisions of one era lie below this number, a decimal one, so that a revision in a log shows its era. */
const eraSpan = 1e12;

/** Adds the era to a revision as the store gives it out. */
export const addEra = (era: Era, storeRevision: number): number => (era * eraSpan) + storeRevision;

/** Returns the era of a revision. */
export const getEra = (revision: number): Era => Math.floor(revision / eraSpan);

/** Returns a revision as the store gave it out. */
export const getStoreRevision = (revision: number): number => revision % eraSpan;

const maxEra = Math.floor(Number.MAX_SAFE_INTEGER / eraSpan) - 1;

/** Parses an era; undefined if the value of the header is none. */
const parseEra = (text: string | string[] | undefined): Era | undefined => {
	const era = typeof text === 'string' && /^\d{1,5}$/v.test(text) ? Number(text) : undefined;
	return era === undefined || era > maxEra ? undefined : era;
};

/** A lease with its era, as the store gives out the ids of leases again in a later one. */
export const encodeLease = (era: Era, id: number): string => era === 0 ? String(id) : `${id}@${era}`;

/** Splits what `encodeLease` returned. */
export const decodeLease = (lease: string): {era: Era; id: number} => {
	const [id, era] = lease.split('@').map(Number);
	return {id: id ?? 0, era: era ?? 0};
};

/** Answer of a store, and the era in which it was given. */
export type EraOutcome = {outcome: JsonOutcome; era: Era};

/** A call of a store; what reads the items of its list knows the era of the answer. */
export type EraCall = Omit<JsonCall, 'list'> & {list?: {field: string; open: (era: Era) => ItemReader}};

/** Calls of a store that notice its restores. */
export type EraCalls = {
	call: (call: EraCall) => Promise<EraOutcome>;
	/** Whether the store has been restored since an era. */
	isPast: (era: Era) => boolean;
};

/** Makes calls by a client of a store whose answers name the era in a header; one that names none is taken for an answer of the newest known era. */
export const createEraCalls = (client: JsonClient, header: string): EraCalls => {
	let newest: Era = 0;

	/** Returns the era that a head names. */
	const readEra = (headers: IncomingHttpHeaders): Era => parseEra(headers[header]) ?? newest;

	return {
		async call({list, ...call}) {
			const outcome = await client.call({...call, ...(list !== undefined && {list: {field: list.field, open: headers => list.open(readEra(headers))}})});
			const era = outcome.kind === 'answered' ? readEra(outcome.headers) : newest;
			newest = Math.max(newest, era);
			return {outcome, era};
		},
		isPast: era => era < newest,
	};
};
