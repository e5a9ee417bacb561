import {decideRetry, getUpstreamKey, type Upstream} from '@gentianlift/routing';
import type {Call, Progress} from '../call.js';
import type {ForwarderContext} from '../context.js';
import {canContinue} from '../deliver/continuation.js';
import type {CallPath} from '../links/upstream-links.js';
import {isVersionUncertain} from '../resume/resume-obstacle.js';
import {grantRetry, type RetryBudgets} from './retry-budgets.js';

/** Whether there is another upstream for a call than those it was sent to. */
export const hasOtherUpstream = ({service}: Call, {tried, streamVersion}: Progress, {view}: ForwarderContext): boolean => {
	const isOther = (upstream: Upstream): boolean =>
		!tried.has(getUpstreamKey(upstream)) && (streamVersion === undefined || upstream.softwareVersion === streamVersion);
	return view.getUpstreams(service).some(upstream => isOther(upstream));
};

/** Returns the path of a call; one that another host has forwarded isn't forwarded again. */
export const choosePath = ({forwarded, service}: Call, {triedHosts}: Progress, {links, reportExchange}: ForwarderContext): CallPath =>
	forwarded === undefined ? links.choosePath(service, triedHosts, reportExchange.isStopping) : {kind: 'direct'};

/** Whether another upstream can be reached for a call, or another host that reaches one. */
const hasOtherWay = (call: Call, progress: Progress, context: ForwarderContext): boolean => {
	const {kind} = choosePath(call, progress, context);
	switch (kind) {
		case 'direct': {
			return hasOtherUpstream(call, progress, context);
		}

		case 'over-host': {
			return true;
		}

		case 'none': {
			return false;
		}
	}
};

/** Returns why no attempt may follow the one in progress, which may have executed the request; undefined if one may. */
const findObstacle = (call: Call, progress: Progress, context: ForwarderContext): string | undefined => {
	const decision = decideRetry({
		isNotExecuted: false,
		mayExecuteAgain: call.mayExecuteAgain,
		possibleExecutions: progress.possibleExecutions + 1,
		maxUpstreams: call.route.maxUpstreams,
		attempts: progress.attempts + 1,
		remainingTime: call.deadline - context.clock.monotonic(),
		mayCrashUpstream: false,
	});
	if (decision.kind === 'stop') {
		return decision.reason;
	}

	if (!hasOtherWay(call, progress, context)) {
		return 'no-upstream';
	}

	return canContinue(call, progress) && !isVersionUncertain(progress, context) ? undefined : 'stream';
};

/**
 * Creates the decision whether an attempt whose upstream or host is silent may be given up: only once the attempt that
 * follows it is granted. Else it goes on, as a sound upstream may fall silent for a second or so. The decision is logged
 * when it changes.
 */
export const createSilenceDecision = (call: Call, progress: Progress, retries: RetryBudgets, context: ForwarderContext): (() => boolean) => {
	let logged: string | undefined;
	return () => {
		const obstacle = findObstacle(call, progress, context) ?? (grantRetry(call, progress, retries) ? undefined : 'budget');
		const decision = obstacle ?? 'resend';
		if (decision !== logged) {
			logged = decision;
			context.metrics.count('silence_decisions_total', {outcome: decision});
			context.logger.info('attempt-silent', {
				request: call.head.callerRequestId, upstream: [...progress.tried].at(-1), over: [...progress.triedHosts].at(-1), decision,
			});
		}

		return obstacle === undefined;
	};
};
