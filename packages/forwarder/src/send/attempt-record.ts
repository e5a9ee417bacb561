import {
	getUpstreamKey, isResumableStream, type Upstream, type UpstreamKey,
} from '@gentianlift/routing';
import type {HostId, Milliseconds} from '@gentianlift/types';
import type {CutReason} from '../deliver/body-end.js';
import type {Call, Progress} from '../call.js';
import type {ForwarderContext} from '../context.js';
import {isServerError} from '../deliver/deliver-buffered.js';
import type {ForwardOutcome} from '../deliver/forward-outcome.js';
import type {AnswerHead} from '../protocol.js';
import type {RequestLoad} from '../queue/request-load.js';
import {recordServiceTime} from '../queue/serving-end.js';
import {isOriginDoubtful} from '../resume/origin-doubt.js';
import {ownSource} from '../statements/upstream-limits.js';
import type {RequestActivity} from '../queue/upstream-tracker.js';

/** Interval and number of checks whether the version of an upstream is certain, as a view that has just fallen behind soon catches up. */
const certaintyCheckInterval: Milliseconds = 150;
const maxCertaintyChecks = 6;

/** One attempt to run a call on an upstream. */
export type Attempt = {
	call: Call;
	progress: Progress;
	upstream: Upstream;
	context: ForwarderContext;
	load: RequestLoad;
	activity: RequestActivity;
	startedAt: Milliseconds;
	/** Time to first token that was expected when the upstream was chosen. */
	expectedFirstToken: Milliseconds;
	/** When the request was sent; undefined while it waits for a connection. */
	sentAt: Milliseconds | undefined;
	/** Returns for how long the upstream's process has run at least; undefined while the request waits for a connection. */
	getProcessAge: (() => Milliseconds) | undefined;
};

/** Records the time to first token: the prefill of this prompt and of those queued before it is complete. */
export const recordFirstToken = ({call, progress, upstream, context, load, startedAt, sentAt, expectedFirstToken}: Attempt): void => {
	const now = context.clock.monotonic();
	progress.firstBytesAt = now;
	load.finishPrefill();
	const duration = now - (sentAt ?? startedAt);
	if (call.head.prompt !== undefined && progress.choice !== undefined) {
		context.tracker.recordFirstToken(upstream, progress.choice.unreadTokens + progress.choice.uncachedTokens, duration);
		// Both are recorded here, so that they cover the same requests.
		context.metrics.record('first_token_duration', duration, {route: call.route.name});
		context.metrics.record('expected_first_token', expectedFirstToken, {route: call.route.name});
	}
};

/** Status 421 (Misdirected Request), the answer of another upstream than the expected one, and of a host that can't take a call which another one forwards. */
export const misdirectedStatus = 421;

/** Status 503 (Service Unavailable), with which upstreams turn requests away. */
const unavailableStatus = 503;

/** Records what an answer says of its upstream, unless that is no longer listed. */
export const observeStatements = ({call, upstream, context, sentAt, startedAt}: Attempt, {status, statements}: AnswerHead): void => {
	const key = getUpstreamKey(upstream);
	if (status === misdirectedStatus || context.view.getService(key) === undefined) {
		return;
	}

	if (statements.isLeaving && context.view.markLeaving(key, ownSource)) {
		context.reportExchange.addLeaving(key);
	}

	context.fragileUpstreams.observe(upstream, statements.rejections);
	context.limits.observe({upstream: key, statement: statements.limit, sentAt: sentAt ?? startedAt});
	if (status === unavailableStatus) {
		context.rests.observe({upstream: key, statement: statements.rest, request: call.head.callerRequestId});
	}
};

/** Logs that a call is written to the connection of an upstream or of another host, from which on it may run: a process that ends over it leaves no other line of it. */
export const reportSent = (
	{head, route, arrivedAt}: Call,
	{attempts}: Progress,
	target: {upstream?: UpstreamKey; over?: HostId},
	{clock, logger, metrics, getTimeSinceStop}: ForwarderContext,
): void => {
	const stoppingFor = getTimeSinceStop();
	metrics.count('attempts_sent_total', {route: route.name, stopping: String(stoppingFor !== undefined)});
	logger.info('attempt-sent', {
		request: head.callerRequestId,
		route: route.name,
		kind: route.kind,
		...target,
		attempt: attempts + 1,
		age: Math.round(clock.monotonic() - arrivedAt),
		stoppingFor: stoppingFor === undefined ? undefined : Math.round(stoppingFor),
	});
};

/** Records how long the request has waited for a connection. */
export const recordConnectionWait = ({call, progress, context, startedAt}: Attempt): void => {
	progress.connectionWait = context.clock.monotonic() - startedAt;
	context.metrics.record('connection_wait', progress.connectionWait, {service: call.service});
};

/** Records the arrival of a chunk of a stream. */
export const recordChunk = (progress: Progress, now: Milliseconds): void => {
	progress.maxChunkGap = Math.max(progress.maxChunkGap, now - (progress.lastBytesAt ?? now));
	progress.lastBytesAt = now;
};

/** Whether an upstream is known to have the version that it is listed with, and not to have started again since; upstreams that are listed without one may differ. */
const isVersionCertain = ({upstream, progress, context}: Attempt): boolean =>
	upstream.softwareVersion !== '' && context.freshness.isCurrent() && context.view.getService(getUpstreamKey(upstream)) !== undefined && !isOriginDoubtful(progress, context);

/** Records the version that begins a stream, and reports it to the other hosts, as its caller may resume the stream at any of them. */
const recordVersion = ({call, progress, upstream, context}: Attempt): void => {
	progress.streamVersion = upstream.softwareVersion;
	const request = call.head.callerRequestId;
	if (request !== undefined && isResumableStream(call.route)) {
		const stream = {request, service: call.service, softwareVersion: upstream.softwareVersion};
		context.streamOrigins.add(stream, context.clock.monotonic());
		context.reportExchange.addStream(stream);
	}
};

/** Records the version that begins a stream as soon as it is certain. Until then, the stream can't be resumed. */
const recordVersionOnceCertain = (attempt: Attempt, remainingChecks: number): void => {
	const {context} = attempt;
	if (isVersionCertain(attempt)) {
		recordVersion(attempt);
	} else if (remainingChecks > 0) {
		// A view that is behind for some milliseconds catches up by itself.
		if (remainingChecks < maxCertaintyChecks) {
			void context.freshness.refreshIfStale();
		}

		context.clock.after(certaintyCheckInterval, () => {
			recordVersionOnceCertain(attempt, remainingChecks - 1);
		});
	}
};

/** Records that the first bytes of a stream are about to be written to the caller; one that the caller resumes has its version already. */
export const recordStart = (attempt: Attempt): void => {
	const {progress, upstream, context} = attempt;
	if (!progress.hasBegun) {
		progress.hasBegun = true;
		progress.origin = {upstream, runsSince: context.clock.monotonic() - (attempt.getProcessAge?.() ?? 0)};
		if (progress.streamVersion === undefined) {
			recordVersionOnceCertain(attempt, maxCertaintyChecks);
		}
	}
};

/** Records the outcome in the state of the upstream, with the durations of all answers but streams. */
export const recordOutcome = ({call, upstream, context}: Attempt, outcome: ForwardOutcome, duration: Milliseconds): void => {
	switch (outcome.kind) {
		case 'delivered': {
			recordServiceTime(call, duration, context);
			const hasComparableDuration = call.route.kind !== 'streaming';
			context.tracker.recordResult(upstream, isServerError(outcome.status), hasComparableDuration ? duration : undefined);
			break;
		}

		case 'unsent': {
			break;
		}

		case 'unreachable': {
			context.tracker.recordUnreachable(upstream, outcome.reason);
			context.links.check(call.service);
			break;
		}

		case 'rejected': {
			context.tracker.recordResult(upstream, true, undefined);
			break;
		}

		case 'failed':
		case 'spoiled': {
			context.tracker.recordResult(upstream, true, undefined);
			break;
		}
	}
};

/** Socket errors of a reset and of a write to a closed connection, and a close without an error. */
const connectionErrors = ['ECONNRESET', 'EPIPE', 'closed'];
const cutReasons: CutReason[] = ['reset', 'lost', 'inside-event', 'no-event'];
/** Reasons of failures that a crash of the upstream may have caused. */
const crashLikeReasons = new Set<string>([...connectionErrors, ...cutReasons]);

/** Whether the connection was lost before the end of the answer, as it is when the upstream crashes. */
export const isConnectionLoss = (outcome: ForwardOutcome): boolean =>
	(outcome.kind === 'spoiled' || outcome.kind === 'failed') && crashLikeReasons.has(outcome.reason);
