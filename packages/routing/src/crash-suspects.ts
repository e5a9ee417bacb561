import type {Milliseconds} from '@gentianlift/types';
import {
	createCrashEvidence, getTrialTime, hasUnexplainedCrash, isBlockedBy, isProven, isSharedBy, type CrashEvidence, type GoodEnd, type SuspectedCrash, type SuspectId,
} from './crash-evidence.js';

/** Time for which evidence is kept after a crash, or after a request of a blocked suspect, here or at another host that repeats the evidence. */
const evidenceLifetime: Milliseconds = 120_000;
/** Time after a request of a blocked suspect for which this host repeats the evidence to the others. */
const repeatPeriod: Milliseconds = 60_000;
/** Maximum numbers of suspects with crashes, of crashes of one suspect, and of good ends of others. */
const maxSuspects = 4000;
const maxCrashesPerSuspect = 8;
const maxGoodEnds = 20_000;
/** Maximum number of crashes that are repeated at a time. */
const maxRepeatedCrashes = 40;

type Suspect = CrashEvidence & {
	/** When a request of the blocked suspect last came to this host. */
	lastRequest: Milliseconds;
	expiresAt: Milliseconds;
};

/** Registry of what may crash the upstreams that run it, with the evidence of all hosts. */
export type CrashSuspects = {
	/** Records a crash; returns false if it was known. */
	addCrash: (crash: SuspectedCrash, now: Milliseconds) => boolean;
	/** Records a good end; returns whether the suspect had a crash that it explains. */
	addGoodEnd: (goodEnd: GoodEnd, now: Milliseconds) => boolean;
	/** Returns the last good end of a suspect that still speaks for it. */
	findGoodEnd: (suspect: SuspectId, now: Milliseconds) => GoodEnd | undefined;
	/** Whether a crash that no later good end explains speaks against the suspect. */
	isSuspected: (suspect: SuspectId, now: Milliseconds) => boolean;
	/** Whether requests of the suspect must not be sent to upstreams, except for trials. */
	isBlocked: (suspect: SuspectId, now: Milliseconds) => boolean;
	/** Whether a request may be tried of which these are all the blocked suspects. */
	isTrialDue: (blocked: readonly SuspectId[], now: Milliseconds) => boolean;
	/** Records that this host sends one request of a blocked suspect. */
	beginTrial: (suspect: SuspectId, now: Milliseconds) => void;
	/** Records that a request of a blocked suspect has come. */
	recordRequest: (suspect: SuspectId, now: Milliseconds) => void;
	/** Returns the crashes of blocked suspects whose requests have come lately, to be repeated to the other hosts. */
	getRepeatedCrashes: (now: Milliseconds) => SuspectedCrash[];
	/** Returns a suspect's crashes, for a log line. */
	getCrashes: (suspect: SuspectId, now: Milliseconds) => SuspectedCrash[];
	/** Whether no suspect has a crash that no later good end explains. */
	isEmpty: () => boolean;
};

/** Removes the entries of a map that were set first, down to a size. */
const dropOldest = (map: Map<string, unknown>, size: number): void => {
	for (const key of map.keys()) {
		if (map.size <= size) {
			return;
		}

		map.delete(key);
	}
};

/** Moves an entry of a map to its end. */
const setLast = <Value>(map: Map<string, Value>, key: string, value: Value): void => {
	map.delete(key);
	map.set(key, value);
};

/** Creates an empty registry. */
export const createCrashSuspects = (): CrashSuspects => {
	const suspects = new Map<SuspectId, Suspect>();
	/** Times of the last good ends, the newest last. */
	const goodEnds = new Map<SuspectId, Milliseconds>();

	const evict = (now: Milliseconds): void => {
		for (const [suspect, {expiresAt}] of suspects) {
			if (expiresAt <= now) {
				suspects.delete(suspect);
			}
		}

		dropOldest(suspects, maxSuspects);
	};

	const find = (suspect: SuspectId, now: Milliseconds): Suspect | undefined => {
		const known = suspects.get(suspect);
		return known !== undefined && known.expiresAt > now ? known : undefined;
	};

	/** Whether another blocked suspect may have caused all crashes of a suspect. */
	const hasSharedCrashes = (suspect: SuspectId, known: Suspect, now: Milliseconds): boolean =>
		[...suspects].some(([id, other]) => id !== suspect && isBlockedBy(id, other, now) && isSharedBy(known, other));

	const describeCrashes = (suspect: SuspectId, {crashes}: Suspect, now: Milliseconds): SuspectedCrash[] =>
		[...crashes].map(([upstream, at]) => ({suspect, upstream, age: now - at}));

	return {
		addCrash({suspect, upstream, age}, now) {
			const known = find(suspect, now) ?? {...createCrashEvidence(goodEnds.get(suspect)), lastRequest: Number.NEGATIVE_INFINITY, expiresAt: 0};
			const isNew = !known.crashes.has(upstream);
			known.crashes.set(upstream, Math.min(now - age, known.crashes.get(upstream) ?? now));
			dropOldest(known.crashes, maxCrashesPerSuspect);
			known.expiresAt = now + evidenceLifetime;
			setLast(suspects, suspect, known);
			evict(now);
			return isNew;
		},
		addGoodEnd({suspect, age}, now) {
			const at = Math.max(now - age, goodEnds.get(suspect) ?? Number.NEGATIVE_INFINITY);
			setLast(goodEnds, suspect, at);
			dropOldest(goodEnds, maxGoodEnds);
			const known = find(suspect, now);
			if (known === undefined) {
				return false;
			}

			const hadCrash = hasUnexplainedCrash(known);
			known.lastGoodEnd = Math.max(known.lastGoodEnd, at);
			return hadCrash;
		},
		findGoodEnd(suspect, now) {
			const at = goodEnds.get(suspect);
			return at !== undefined && isProven(at, now) ? {suspect, age: now - at} : undefined;
		},
		isSuspected(suspect, now) {
			const known = find(suspect, now);
			return known !== undefined && hasUnexplainedCrash(known);
		},
		isBlocked(suspect, now) {
			const known = find(suspect, now);
			return known !== undefined && isBlockedBy(suspect, known, now);
		},
		isTrialDue: (blocked, now) => blocked.every(suspect => {
			const known = find(suspect, now);
			return known !== undefined && getTrialTime(suspect, known, {isShared: blocked.length === 1 && hasSharedCrashes(suspect, known, now), now}) <= now;
		}),
		beginTrial(suspect, now) {
			const known = find(suspect, now);
			if (known !== undefined) {
				known.lastTrial = now;
			}
		},
		recordRequest(suspect, now) {
			const known = find(suspect, now);
			if (known !== undefined) {
				known.lastRequest = now;
				known.expiresAt = now + evidenceLifetime;
			}
		},
		getRepeatedCrashes(now) {
			const repeated = [...suspects].filter(([suspect, known]) =>
				now - known.lastRequest <= repeatPeriod && known.expiresAt > now && isBlockedBy(suspect, known, now));
			return repeated.flatMap(([suspect, known]) => describeCrashes(suspect, known, now)).slice(-maxRepeatedCrashes);
		},
		getCrashes(suspect, now) {
			const known = find(suspect, now);
			return known === undefined ? [] : describeCrashes(suspect, known, now);
		},
		isEmpty: () => ![...suspects.values()].some(known => hasUnexplainedCrash(known)),
	};
};
