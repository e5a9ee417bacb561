import {getUpstreamKey, type Upstream} from '@gentianlift/routing';
import type {Milliseconds} from '@gentianlift/types';
import type {Call, Progress} from '../call.js';
import type {ForwarderContext} from '../context.js';
import {findBlockingSuspect} from '../crashes/crash-blame.js';
import type {PermitClaim} from '../statements/upstream-limits.js';
import {isTooLateToStart} from '../queue/serving-end.js';
import {getUpstreamRanks, lowestUpstreamRank} from '../queue/upstream-ranks.js';
import {hasOtherUpstream} from './successor.js';
import type {RequestHead, UnsentReason, UpstreamRequest} from './send.js';

/** The upstream that a request is sent to, and the call's claim on a permit if it is limited. */
export type SendTarget = {upstream: Upstream; permit: PermitClaim};

/** Minimum wait for a connection or for the head of an answer before a request is retried on another upstream. */
const minAttemptTimeout: Milliseconds = 300;
/** Fraction of the remaining time that an attempt may wait for the head of an answer while another execution is allowed, or for a connection while there is another upstream. */
const attemptTimeoutFraction = 0.4;

/** Returns the part of the remaining time after which a request is retried on another upstream. */
const getAttemptTimeout = (remainingTime: Milliseconds): Milliseconds =>
	Math.min(remainingTime, Math.max(minAttemptTimeout, remainingTime * attemptTimeoutFraction));

/** Returns the longest wait for the head of an answer; while another execution is allowed, part of the remaining time is left for it. Undefined if no time would be left: the call's deadline tells its caller what happened. */
const getHeadTimeout = (call: Call, progress: Progress, remainingTime: Milliseconds): Milliseconds | undefined => {
	const mayRetryElsewhere = call.route.kind === 'idempotent' && progress.possibleExecutions + 1 < call.route.maxUpstreams;
	const attemptTimeout = getAttemptTimeout(remainingTime);
	return mayRetryElsewhere && attemptTimeout < remainingTime ? attemptTimeout : undefined;
};

/** Returns the longest wait for a connection; while there is another upstream, part of the remaining time is left for it. Nothing has been sent, so this holds for requests of all kinds. */
const getConnectionWait = (call: Call, progress: Progress, context: ForwarderContext, remainingTime: Milliseconds): Milliseconds =>
	hasOtherUpstream(call, progress, context) ? getAttemptTimeout(remainingTime) : remainingTime;

const getRemainingTime = (call: Call, {clock}: ForwarderContext): Milliseconds =>
	Math.max(1, Math.floor(call.deadline - clock.monotonic()));

/** Returns the rank that the upstream is told: that of the call among all that the configuration allows. */
const getUpstreamRank = ({service, rank}: Call, {view}: ForwarderContext): number => {
	const table = view.getRoutes();
	return table === undefined ? lowestUpstreamRank : getUpstreamRanks(table, service)(rank);
};

/** Builds the head of the request to an upstream; a stream resumes after the last event that was delivered. */
const buildRequestHead = (call: Call, progress: Progress, upstream: Upstream, context: ForwarderContext): RequestHead => {
	const remainingTime = getRemainingTime(call, context);
	const headers = context.protocol.buildUpstreamHeaders({
		caller: call.head,
		upstream,
		customer: call.customer?.name,
		remainingTime,
		rank: getUpstreamRank(call, context),
		resumeAfter: progress.lastEventId,
		bodyLength: call.body.length,
	});
	return {headers, headTimeout: getHeadTimeout(call, progress, remainingTime)};
};

/** Returns why a call that has waited for a connection must no longer be sent; undefined if it may be. */
const getUnsentReason = (call: Call, progress: Progress, {upstream, permit}: SendTarget, context: ForwarderContext): UnsentReason | undefined => {
	if (!context.view.isUsable(getUpstreamKey(upstream))) {
		return 'upstream-removed';
	}

	if (isTooLateToStart(call, progress, context.clock.monotonic(), context)) {
		return 'host-stopping';
	}

	if (findBlockingSuspect(call, progress, context) !== undefined) {
		return 'suspected-of-crashes';
	}

	if (context.rests.isResting(getUpstreamKey(upstream))) {
		return 'upstream-resting';
	}

	return permit.take() ? undefined : 'upstream-limited';
};

/** Confirms that an upstream still is the incarnation that its entry names; once more if this host was suspended meanwhile, as soon as its view is current again. */
const confirmIncarnation = async ({freshness}: ForwarderContext): Promise<boolean> =>
	await freshness.confirm() || (!freshness.isCurrent() && await freshness.ensureCurrent() && freshness.confirm());

/** Builds the request to an upstream; `mayGiveUp` decides on an answer that doesn't begin in time. Its head is built when it is sent, as the remaining time goes into it, and not at all if it must no longer be sent then. */
export const buildUpstreamRequest = (call: Call, progress: Progress, {mayGiveUp, ...target}: SendTarget & Pick<UpstreamRequest, 'mayGiveUp'>, context: ForwarderContext): UpstreamRequest => ({
	address: target.upstream.address,
	method: call.method,
	target: call.target,
	body: call.body,
	callerRequestId: call.head.callerRequestId,
	connectionWait: getConnectionWait(call, progress, context, getRemainingTime(call, context)),
	confirm: progress.streamVersion === undefined ? undefined : async () => confirmIncarnation(context),
	mayGiveUp,
	buildHead: () => getUnsentReason(call, progress, target, context) ?? buildRequestHead(call, progress, target.upstream, context),
});
