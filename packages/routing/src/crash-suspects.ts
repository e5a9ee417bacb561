import type {Milliseconds} from '@gentianlift/types';
import {dropOldest, setLast} from './recent-keys.js';
import {
	createCrashEvidence, getTrialTime, hasUnexplainedCrash, isBlockedBy, isProven, isSharedBy, type CrashEvidence, type GoodEnd, type SuspectedCrash, type SuspectId,
} from './crash-evidence.js';

/** Time for which evidence is kept after a crash, or after a request of a blocked suspect, here or at another host that repeats the evidence. */
const evidenceLifetime: Milliseconds = 120_000;
/** Time after a request of a blocked suspect for which this host repeats the evidence to the others. */
const repeatPeriod: Milliseconds = 60_000;
/** Minimum time between two reports of a good end of one suspect. */
const goodEndReportInterval: Milliseconds = 1000;
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
	/** Records a good end that this host has seen; returns whether less speaks against the suspect than before. */
	addGoodEnd: (suspect: SuspectId, now: Milliseconds) => boolean;
	/** Records a good end that another host has seen; returns whether less speaks against the suspect than before. */
	applyGoodEnd: (goodEnd: GoodEnd, now: Milliseconds) => boolean;
	/** Returns the last good end of a suspect that this host has seen, to be told to the others; undefined if it no longer speaks for the suspect, or has just been told. */
	takeGoodEndToTell: (suspect: SuspectId, now: Milliseconds) => GoodEnd | undefined;
	/** Whether a request of the suspect has ended well lately, here or at another host. */
	isProven: (suspect: SuspectId, now: Milliseconds) => boolean;
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
};

/** When requests of a suspect last ended well, at any host and at this one. */
type KnownGoodEnd = {at: Milliseconds; ownAt: Milliseconds; toldAt: Milliseconds};

const unknownGoodEnd: Readonly<KnownGoodEnd> = {at: Number.NEGATIVE_INFINITY, ownAt: Number.NEGATIVE_INFINITY, toldAt: Number.NEGATIVE_INFINITY};

/** Creates an empty registry. */
export const createCrashSuspects = (): CrashSuspects => {
	const suspects = new Map<SuspectId, Suspect>();
	/** The last good ends, the newest last. */
	const goodEnds = new Map<SuspectId, KnownGoodEnd>();

	const evict = (now: Milliseconds): void => {
		for (const [suspect, {expiresAt}] of suspects) {
			if (expiresAt > now) {
				break;
			}

			suspects.delete(suspect);
		}

		dropOldest(suspects, maxSuspects);
	};

	const find = (suspect: SuspectId, now: Milliseconds): Suspect | undefined => {
		const known = suspects.get(suspect);
		return known !== undefined && known.expiresAt > now ? known : undefined;
	};

	/** Whether a blocked suspect that a request doesn't have may have caused all crashes of one that it has. */
	const hasSharedCrashes = (known: Suspect, ofRequest: readonly SuspectId[], now: Milliseconds): boolean =>
		[...suspects].some(([id, other]) => !ofRequest.includes(id) && isBlockedBy(id, other, now) && isSharedBy(known, other));

	/** Keeps the evidence on a suspect for a while; those that expire first come first. */
	const keep = (suspect: SuspectId, known: Suspect, now: Milliseconds): void => {
		known.expiresAt = now + evidenceLifetime;
		setLast(suspects, suspect, known);
	};

	/** Records a good end; returns whether it explains the suspect's crashes, or proves a suspect that has some. */
	const recordGoodEnd = (suspect: SuspectId, goodEnd: KnownGoodEnd, now: Milliseconds): boolean => {
		setLast(goodEnds, suspect, goodEnd);
		dropOldest(goodEnds, maxGoodEnds);
		const known = find(suspect, now);
		if (known === undefined) {
			return false;
		}

		const wasSuspected = hasUnexplainedCrash(known);
		const wasProven = isProven(known.lastGoodEnd, now);
		known.lastGoodEnd = Math.max(known.lastGoodEnd, goodEnd.at);
		return wasSuspected && (!hasUnexplainedCrash(known) || (!wasProven && isProven(known.lastGoodEnd, now)));
	};

	const describeCrashes = (suspect: SuspectId, {crashes}: Suspect, now: Milliseconds): SuspectedCrash[] =>
		[...crashes].map(([upstream, at]) => ({suspect, upstream, age: now - at}));

	return {
		addCrash({suspect, upstream, age}, now) {
			const known = find(suspect, now) ?? {...createCrashEvidence(goodEnds.get(suspect)?.at), lastRequest: Number.NEGATIVE_INFINITY, expiresAt: 0};
			const isNew = !known.crashes.has(upstream);
			known.crashes.set(upstream, Math.min(now - age, known.crashes.get(upstream) ?? now));
			dropOldest(known.crashes, maxCrashesPerSuspect);
			keep(suspect, known, now);
			evict(now);
			return isNew;
		},
		addGoodEnd: (suspect, now) => recordGoodEnd(suspect, {...goodEnds.get(suspect) ?? unknownGoodEnd, at: now, ownAt: now}, now),
		applyGoodEnd({suspect, age}, now) {
			const {at, ownAt, toldAt} = goodEnds.get(suspect) ?? unknownGoodEnd;
			return recordGoodEnd(suspect, {at: Math.max(at, now - age), ownAt, toldAt}, now);
		},
		takeGoodEndToTell(suspect, now) {
			const known = goodEnds.get(suspect);
			if (known === undefined || !isProven(known.ownAt, now) || now - known.toldAt < goodEndReportInterval) {
				return undefined;
			}

			known.toldAt = now;
			return {suspect, age: now - known.ownAt};
		},
		isProven: (suspect, now) => isProven((goodEnds.get(suspect) ?? unknownGoodEnd).at, now),
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
			return known !== undefined && getTrialTime(suspect, known, {isShared: hasSharedCrashes(known, blocked, now), now}) <= now;
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
				keep(suspect, known, now);
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
	};
};
