import type {RoomedEntry} from './entry-classifier.js';
import {
	createHeldEntries, type EntryRank, type HeldEntries, type PutOutcome,
} from './held-entries.js';
import type {NamedServices} from './named-services.js';

/** Room for entries that name something, in which those that a host doesn't use now make room for those that it does. */
export type EntryRoom = Pick<HeldEntries, 'get' | 'delete' | 'keys' | 'values' | 'count' | 'hasRoom'> & {
	put: (classified: RoomedEntry) => PutOutcome;
	/** Ranks the upstreams that are held anew, after the services have changed. */
	rankAgain: () => void;
};

/** Most records that count as used. Another writer may leave more that look like them. */
const maxUsedRecords = 1000;

/** Creates it without entries. */
export const createEntryRoom = (services: Pick<NamedServices, 'has'>): EntryRoom => {
	const entries = createHeldEntries();
	/** Services of the upstreams that are held, by the keys of their entries. */
	const upstreamServices = new Map<string, string>();
	/** Keys of the records that are held and used. */
	const usedRecords = new Set<string>();

	const rankUpstream = (service: string): EntryRank => services.has(service) ? 'used' : 'spare';

	/** A record that can't be read is spare, unless it was one that could. */
	const rankRecord = (key: string, isReadable: boolean): EntryRank =>
		isReadable && usedRecords.size < maxUsedRecords ? 'used' : entries.getRank(key) ?? 'spare';

	const getRank = (classified: RoomedEntry): EntryRank => {
		switch (classified.kind) {
			case 'host': {
				return 'used';
			}

			case 'upstream': {
				return rankUpstream(classified.upstream.service);
			}

			case 'record': {
				return rankRecord(classified.entry.key, classified.isReadable);
			}
		}
	};

	const forget = (key: string): void => {
		upstreamServices.delete(key);
		usedRecords.delete(key);
	};

	const note = (classified: RoomedEntry, rank: EntryRank): void => {
		const {key} = classified.entry;
		forget(key);
		if (classified.kind === 'upstream') {
			upstreamServices.set(key, classified.upstream.service);
		} else if (classified.kind === 'record' && rank === 'used') {
			usedRecords.add(key);
		}
	};

	return {
		...entries,
		put(classified) {
			const rank = getRank(classified);
			const outcome = entries.put(classified.entry, rank);
			for (const key of outcome.displaced) {
				forget(key);
			}

			if (outcome.isHeld) {
				note(classified, rank);
			}

			return outcome;
		},
		delete(key) {
			forget(key);
			entries.delete(key);
		},
		rankAgain() {
			for (const [key, service] of upstreamServices) {
				entries.setRank(key, rankUpstream(service));
			}
		},
	};
};
