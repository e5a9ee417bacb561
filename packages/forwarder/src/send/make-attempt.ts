import type {HostRecord} from '@gentianlift/discovery';
import {getUpstreamKey} from '@gentianlift/routing';
import {isAbandoned, type Call, type Progress} from '../call.js';
import type {ForwarderContext} from '../context.js';
import type {ForwardOutcome} from '../deliver/forward-outcome.js';
import {recordGoodEnd} from '../crashes/good-end.js';
import type {Assignment} from '../queue/assignment.js';
import type {RequestQueue} from '../queue/request-queue.js';
import {isTooLateToStart} from '../queue/serving-end.js';
import {findResumeObstacle, isVersionUncertain, reportResumeObstacle} from '../resume/resume-obstacle.js';
import type {CallPath} from '../links/upstream-links.js';
import {attemptOverHost} from './attempt-over-host.js';
import {attemptUpstream} from './attempt.js';
import type {RetryBudgets} from './retry-budgets.js';
import {choosePath} from './successor.js';

/** Makes the next attempt of a call after the `previous` one, if there was one; resolves with undefined if the call has ended, or if there is neither an upstream nor another host for it. */
export type AttemptMaker = (call: Call, progress: Progress, previous: ForwardOutcome | undefined) => Promise<ForwardOutcome | undefined>;

/** Creates a maker of attempts, directly on upstreams or over other hosts. */
export const createAttemptMaker = (context: ForwarderContext, queue: RequestQueue, retries: RetryBudgets): AttemptMaker => {
	const {links} = context;

	/** Returns an upstream for the next attempt; undefined if there is none, if the call has ended, or if its stream can't be resumed. */
	const getAssignment = async (call: Call, progress: Progress): Promise<Assignment | undefined> => {
		const obstacle = await findResumeObstacle(progress, context);
		if (obstacle !== undefined) {
			reportResumeObstacle(call, progress, obstacle, context);
			return undefined;
		}

		const assignment = await queue.enqueue(call, progress);
		const {streamVersion, refusal, isReturned} = progress;
		if (assignment === undefined && streamVersion !== undefined && refusal === undefined && !isReturned && !isAbandoned(progress)) {
			reportResumeObstacle(call, progress, 'no-upstream', context);
		}

		return assignment;
	};

	/** Makes an attempt on an upstream; returns undefined if there is none for the call. */
	const attemptDirectly = async (call: Call, progress: Progress): Promise<ForwardOutcome | undefined> => {
		const assignment = await getAssignment(call, progress);
		if (assignment === undefined) {
			return undefined;
		}

		const {upstream} = assignment.candidate;
		progress.tried.add(getUpstreamKey(upstream));
		const outcome = await attemptUpstream(call, progress, {assignment, retries}, context);
		queue.requestDispatch();
		if (outcome.kind === 'delivered') {
			void recordGoodEnd(call, progress, {upstream, status: outcome.status}, context);
		}

		return outcome;
	};

	/** Makes an attempt over another host; returns undefined if the call's stream can't be resumed, or if this host stops before the answer would end. */
	const attemptIndirectly = async (call: Call, progress: Progress, host: HostRecord): Promise<ForwardOutcome | undefined> => {
		if (isVersionUncertain(progress, context)) {
			reportResumeObstacle(call, progress, 'version-uncertain', context);
			return undefined;
		}

		if (isTooLateToStart(call, progress, context.clock.monotonic(), context)) {
			progress.isReturned = true;
			return undefined;
		}

		progress.triedHosts.add(host.host);
		return attemptOverHost(call, progress, {host, retries}, context);
	};

	/** Returns the path of a call; once the hosts that were known to reach its service have failed, asks for others. */
	const findPath = async (call: Call, progress: Progress): Promise<CallPath> => {
		const path = choosePath(call, progress, context);
		if (path.kind !== 'none') {
			return path;
		}

		await links.renewHosts(call.service);
		return choosePath(call, progress, context);
	};

	return async (call, progress, previous) => {
		if (previous?.kind === 'unreachable' || previous?.kind === 'failed') {
			// The failure may come from links that are cut, which is known soon.
			await links.waitForCheck(call.service);
		}

		const path = await findPath(call, progress);
		if (isAbandoned(progress)) {
			return undefined;
		}

		switch (path.kind) {
			case 'direct': {
				return attemptDirectly(call, progress);
			}

			case 'over-host': {
				return attemptIndirectly(call, progress, path.host);
			}

			case 'none': {
				return undefined;
			}
		}
	};
};
