import type {Milliseconds} from '@gentianlift/types';
import type {UpstreamKey} from './upstream.js';

/**
 * What a request may be blamed by for a crash of the upstream that ran it: `part:` and the id of a part of its prompt that
 * other requests may share, or its fingerprint, which all copies of it have in common.
 */
export type SuspectId = string;

/** A crash of an upstream that ran a request of the suspect, and the time since it became known. */
export type SuspectedCrash = {suspect: SuspectId; upstream: UpstreamKey; age: Milliseconds};

/** The end of a request of the suspect whose upstream survived it, and the time since then. */
export type GoodEnd = {suspect: SuspectId; age: Milliseconds};

/** What is known for and against a suspect. */
export type CrashEvidence = {
	/** When crashes of upstreams that ran its requests became known. */
	crashes: Map<UpstreamKey, Milliseconds>;
	/** When one of its requests last ended well; -Infinity if none is known. */
	lastGoodEnd: Milliseconds;
	/** When this host last began a trial of it; -Infinity without one. */
	lastTrial: Milliseconds;
};

/** Crashes since the last good end after which a suspect is blocked. */
type CrashLimit = {
	crashes: number;
	/** Crashes that become known within this time count as one, as upstreams that fail together have one cause. */
	merge: Milliseconds;
};

/** Limit for a suspect without a good end in the time `goodEndLifetime`, and for one that has ended well lately and may have met crashes of other causes. */
type CrashLimits = Record<'unproven' | 'proven', CrashLimit>;

/** Time for which a good end speaks for a suspect. */
export const goodEndLifetime: Milliseconds = 60_000;

const partPrefix = 'part:';
const mergeTime: Milliseconds = 150;
const partLimits: CrashLimits = {unproven: {crashes: 2, merge: mergeTime}, proven: {crashes: 4, merge: mergeTime}};
/** Crashes of copies that have never ended well aren't merged, as each copy is retried at once. */
const copyLimits: CrashLimits = {unproven: {crashes: 3, merge: 0}, proven: {crashes: 4, merge: mergeTime}};

/** Time from the last crash until one request of a blocked suspect is tried, and the factor by which each further crash prolongs it. */
const firstTrialDelay: Milliseconds = 15_000;
const trialDelayFactor = 8;
const maxTrialDelay: Milliseconds = 7_200_000;
/** Time until a suspect is tried whose crashes another one may have caused. */
const sharedTrialDelay: Milliseconds = 500;

/** Returns the suspect id of a part of a prompt. */
export const getPartSuspect = (partId: string): SuspectId => `${partPrefix}${partId}`;

/** Whether a good end speaks for a suspect. */
export const isProven = (lastGoodEnd: Milliseconds, now: Milliseconds): boolean => now - lastGoodEnd <= goodEndLifetime;

const getLimit = (suspect: SuspectId, lastGoodEnd: Milliseconds, now: Milliseconds): CrashLimit => {
	const limits = suspect.startsWith(partPrefix) ? partLimits : copyLimits;
	return isProven(lastGoodEnd, now) ? limits.proven : limits.unproven;
};

/** Creates evidence without crashes. */
export const createCrashEvidence = (lastGoodEnd = Number.NEGATIVE_INFINITY): CrashEvidence =>
	({crashes: new Map(), lastGoodEnd, lastTrial: Number.NEGATIVE_INFINITY});

/** Returns the times of crashes since the last good end in order, merged ones once. */
const getUnexplainedCrashes = ({crashes, lastGoodEnd}: CrashEvidence, merge: Milliseconds): Milliseconds[] => {
	const times = [...crashes.values()].filter(at => at > lastGoodEnd).toSorted((one, other) => one - other);
	const counted: Milliseconds[] = [];
	for (const at of times) {
		if (at - (counted.at(-1) ?? Number.NEGATIVE_INFINITY) >= merge) {
			counted.push(at);
		}
	}

	return counted;
};

/** Whether the evidence names a crash that no later good end explains. */
export const hasUnexplainedCrash = ({crashes, lastGoodEnd}: CrashEvidence): boolean => [...crashes.values()].some(at => at > lastGoodEnd);

/** Whether requests of a suspect must not be sent to upstreams, except for trials. */
export const isBlockedBy = (suspect: SuspectId, evidence: CrashEvidence, now: Milliseconds): boolean => {
	const {crashes, merge} = getLimit(suspect, evidence.lastGoodEnd, now);
	return getUnexplainedCrashes(evidence, merge).length >= crashes;
};

/** Whether all crashes of a suspect are those of another one, too, so that either may have caused them. */
export const isSharedBy = ({crashes, lastGoodEnd}: CrashEvidence, other: CrashEvidence): boolean =>
	[...crashes].every(([upstream, at]) => at <= lastGoodEnd || other.crashes.has(upstream));

/** Returns when one request of a blocked suspect may be tried; soon if another one may have caused the same crashes, and isn't in the request. */
export const getTrialTime = (suspect: SuspectId, evidence: CrashEvidence, {isShared, now}: {isShared: boolean; now: Milliseconds}): Milliseconds => {
	const limit = getLimit(suspect, evidence.lastGoodEnd, now);
	const crashes = getUnexplainedCrashes(evidence, limit.merge);
	const delay = Math.min(maxTrialDelay, firstTrialDelay * (trialDelayFactor ** Math.max(0, crashes.length - limit.crashes)));
	return Math.max(crashes.at(-1) ?? Number.NEGATIVE_INFINITY, evidence.lastTrial) + (isShared ? sharedTrialDelay : delay);
};
