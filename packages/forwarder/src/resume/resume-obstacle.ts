import type {Call, Progress} from '../call.js';
import type {ForwarderContext} from '../context.js';
import {isOriginDoubtful} from './origin-doubt.js';

/**
 * Why a stream of which the caller has events can't be resumed:
 * - `version-uncertain`: it isn't certain which software version began it
 * - `view-not-current`: the versions of the upstreams aren't certain
 * - `no-upstream`: no upstream of its version can take it
 */
export type ResumeObstacle = 'version-uncertain' | 'view-not-current' | 'no-upstream';

/** Whether a call's caller has events of a stream, and it isn't certain which software version began it. */
export const isVersionUncertain = (progress: Progress, context: ForwarderContext): boolean =>
	progress.hasBegun && (progress.streamVersion === undefined || isOriginDoubtful(progress, context));

/** Returns why a call's stream can't be resumed by any upstream; undefined if it can, or if its caller has no events. */
export const findResumeObstacle = async (progress: Progress, context: ForwarderContext): Promise<ResumeObstacle | undefined> => {
	if (isVersionUncertain(progress, context)) {
		return 'version-uncertain';
	}

	progress.origin = undefined;

	if (progress.streamVersion === undefined) {
		return undefined;
	}

	return await context.freshness.ensureCurrent() ? undefined : 'view-not-current';
};

/** Logs why a call's stream isn't resumed, and counts it in the metrics. */
export const reportResumeObstacle = ({head, route}: Call, {streamVersion}: Progress, reason: ResumeObstacle, {logger, metrics}: ForwarderContext): void => {
	metrics.count('resumes_prevented_total', {route: route.name, reason});
	logger.info('resume-prevented', {request: head.callerRequestId, software: streamVersion, reason});
};
