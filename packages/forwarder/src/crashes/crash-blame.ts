import {getMeanReportDelay} from '@gentianlift/discovery';
import {getPartSuspect, type SuspectId} from '@gentianlift/routing';
import {getFingerprint, type Call, type Progress} from '../call.js';
import type {ForwarderContext} from '../context.js';

/** Maximum number of parts of one prompt that may be blamed. */
const maxBlamedParts = 128;

const suspectCache = new WeakMap<Call, readonly SuspectId[]>();

/** Returns the parts of a call's prompt that may be blamed for a crash: all but the last one, which is the request's own. */
const getPartSuspects = ({head: {sharedParts}}: Call): SuspectId[] => sharedParts.slice(0, maxBlamedParts).map(id => getPartSuspect(id));

/** Returns what a call may be blamed by. */
export const getSuspects = (call: Call): readonly SuspectId[] => {
	const cached = suspectCache.get(call);
	if (cached !== undefined) {
		return cached;
	}

	const suspects = [...getPartSuspects(call), getFingerprint(call)];
	suspectCache.set(call, suspects);
	return suspects;
};

/** Whether a crash is known for which the call may be blamed. */
export const isSuspected = (call: Call, {suspects, clock}: ForwarderContext): boolean =>
	getSuspects(call).some(suspect => suspects.isSuspected(suspect, clock.monotonic()));

const isBlocked = (suspect: SuspectId, {trials}: Progress, {suspects, clock}: ForwarderContext): boolean =>
	!trials.has(suspect) && suspects.isBlocked(suspect, clock.monotonic());

/** Returns the suspects for which the call must not be sent to an upstream. */
const findBlockingSuspects = (call: Call, progress: Progress, context: ForwarderContext): SuspectId[] =>
	getSuspects(call).filter(suspect => isBlocked(suspect, progress, context));

/** Returns a suspect for which the call must not be sent to an upstream; undefined if it may be. */
export const findBlockingSuspect = (call: Call, progress: Progress, context: ForwarderContext): SuspectId | undefined =>
	findBlockingSuspects(call, progress, context)[0];

/** Whether a trial of a call with blocked suspects is due, and this host is the one that makes it. */
const isTrial = (blocking: readonly SuspectId[], {suspects, clock, isTrialHost}: ForwarderContext): boolean => {
	const [chosen] = blocking.toSorted();
	return chosen !== undefined && isTrialHost(chosen) && suspects.isTrialDue(blocking, clock.monotonic());
};

/** Admits a call to an attempt; returns a blocked suspect for which it isn't, unless it is a trial. */
export const findObstacleToAttempt = (call: Call, progress: Progress, context: ForwarderContext): SuspectId | undefined => {
	const {suspects, clock, logger} = context;
	const blocking = findBlockingSuspects(call, progress, context);
	for (const suspect of blocking) {
		suspects.recordRequest(suspect, clock.monotonic());
	}

	if (!isTrial(blocking, context)) {
		return blocking[0];
	}

	for (const suspect of blocking) {
		suspects.beginTrial(suspect, clock.monotonic());
		progress.trials.add(suspect);
		logger.info('suspect-tried', {request: call.head.callerRequestId, suspect, crashes: suspects.getCrashes(suspect, clock.monotonic()).length});
	}

	return undefined;
};

/** Number of mean report delays in which the other hosts hear of a crash, and tell what speaks for its suspects. */
export const reportDelaysOfExchange = 3;

/** Whether a retry of a call may crash another upstream: the last one has crashed, and the call was a trial, or no host has lately seen a request with one of its parts end well. */
export const mayCrashAgain = async (call: Call, {hasCrashed, trials}: Progress, {suspects, clock, countHosts}: ForwarderContext): Promise<boolean> => {
	if (trials.size > 0) {
		return await hasCrashed ?? false;
	}

	const isUnproven = (suspect: SuspectId): boolean => !suspects.isProven(suspect, clock.monotonic());
	const parts = getPartSuspects(call);
	if (!parts.some(suspect => isUnproven(suspect)) || !await hasCrashed) {
		return false;
	}

	await clock.sleep(reportDelaysOfExchange * getMeanReportDelay(countHosts()));
	return parts.some(suspect => isUnproven(suspect));
};
