import {getUpstreamKey, isResumableStream, type Upstream} from '@gentianlift/routing';
import type {Milliseconds} from '@gentianlift/types';
import {buildUpstreamRequest} from './build-upstream-request.js';
import type {CutReason} from './body-end.js';
import type {ForwardOutcome} from './forward-outcome.js';
import type {Call, Progress} from './call.js';
import {deliverStream, writeAnswerHead} from './deliver.js';
import {deliverBuffered, isServerError} from './deliver-buffered.js';
import type {RequestLoad} from './request-load.js';
import {reportCrash} from './report-crash.js';
import {send, type SendOutcome} from './send.js';
import type {ForwarderContext} from './context.js';
import type {RequestActivity} from './upstream-tracker.js';
import type {Assignment} from './request-queue.js';

/** Silence of an upstream after which a stream that it runs resumes on another one, in addition to the prefill time. */
const resumeSilence: Milliseconds = 1000;
/** Prefill rate of the slowest engines, in tokens per millisecond. */
const minPrefillRate = 15;
/** Interval at which the silence of an upstream is checked. */
const silenceCheckInterval: Milliseconds = 200;

/** One attempt to run a call on an upstream. */
type Attempt = {
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
};

/** Records the time to first token: the prefill of this prompt and of those queued before it is complete. */
const recordFirstToken = ({call, progress, upstream, context, load, startedAt, sentAt, expectedFirstToken}: Attempt): void => {
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

/** Records how long the request has waited for a connection. */
const recordConnectionWait = ({call, progress, context, startedAt}: Attempt): void => {
	progress.connectionWait = context.clock.monotonic() - startedAt;
	context.metrics.record('connection_wait', progress.connectionWait, {service: call.service});
};

/** Records the arrival of a chunk of a stream. */
const recordChunk = (progress: Progress, now: Milliseconds): void => {
	progress.maxChunkGap = Math.max(progress.maxChunkGap, now - (progress.lastBytesAt ?? now));
	progress.lastBytesAt = now;
};

/** Whether an upstream is known to have the version that it is listed with, and not to have started again since. */
const isVersionCertain = (upstream: Upstream, {freshness, view}: ForwarderContext): boolean =>
	freshness.isCurrent() && view.getService(getUpstreamKey(upstream)) !== undefined;

/** Records which upstream begins a stream, and reports it to the other hosts, as its caller may take it up at any of them. Nobody can go on with a stream whose version isn't certain. */
const recordStart = ({call, progress, upstream, context}: Attempt): void => {
	if (progress.hasBegun) {
		return;
	}

	const isCertain = isVersionCertain(upstream, context);
	progress.hasBegun = true;
	progress.streamVersion ??= isCertain ? upstream.softwareVersion : undefined;
	const request = call.head.callerRequestId;
	if (isCertain && call.streamVersion === undefined && request !== undefined && isResumableStream(call.route)) {
		const stream = {request, service: call.service, softwareVersion: upstream.softwareVersion};
		context.streamOrigins.add(stream, context.clock.monotonic());
		context.reportExchange.addStream(stream);
	}
};

/** Delivers a streamed answer to the caller. */
const deliverEvents = async (attempt: Attempt, {head, answer}: Extract<SendOutcome, {kind: 'answered'}>): Promise<ForwardOutcome> => {
	const {call, progress, context, activity} = attempt;
	answer.message.on('data', () => {
		activity.recordBytes();
		recordChunk(progress, context.clock.monotonic());
	});
	const delivery = await deliverStream({
		head, answer, response: call.response, progress,
		isResumable: call.mayExecuteAgain,
		isClosing: context.isStopping(),
		onFirstBytes() {
			recordFirstToken(attempt);
		},
		onFirstWrite() {
			recordStart(attempt);
		},
	});
	switch (delivery.kind) {
		case 'complete': {
			if (!call.response.headersSent) {
				writeAnswerHead(call.response, head, context.isStopping());
			}

			call.response.end();
			return {kind: 'delivered', status: head.status};
		}

		case 'cut': {
			const canResume = call.mayExecuteAgain || !call.response.headersSent;
			return canResume ? {kind: 'failed', reason: delivery.reason} : {kind: 'spoiled', reason: delivery.reason};
		}

		case 'broken': {
			return {kind: 'spoiled', reason: delivery.reason};
		}
	}
};

/** Delivers the answer, if there is one, and maps the outcome of the request to that of the attempt. */
const handleSendOutcome = async (attempt: Attempt, outcome: SendOutcome): Promise<ForwardOutcome> => {
	switch (outcome.kind) {
		case 'unsent': {
			recordConnectionWait(attempt);
			return outcome;
		}

		case 'unreachable': {
			return outcome;
		}

		case 'rejected': {
			return {kind: 'rejected', reason: `status-${outcome.status}`};
		}

		case 'broken': {
			return {kind: 'failed', reason: outcome.reason};
		}

		case 'silent': {
			return {kind: 'failed', reason: 'silent'};
		}

		case 'answered': {
			attempt.activity.recordBytes();
			const isStream = outcome.head.isEventStream && outcome.head.status < 300;
			return isStream ? deliverEvents(attempt, outcome) : deliverBuffered(attempt.call, attempt.progress, outcome, attempt.context.isStopping());
		}
	}
};

/** Cancels the attempt of a resumable stream once its upstream is silent for too long; returns a function that stops watching. */
const watchForSilence = ({call, upstream, context}: Attempt, unreadTokens: number, cancel: () => void): (() => void) => {
	if (!call.mayExecuteAgain || call.route.kind !== 'streaming') {
		return () => undefined;
	}

	const maxSilence = resumeSilence + (unreadTokens / minPrefillRate);
	const {every} = context.clock;
	return every(silenceCheckInterval, () => {
		if (context.tracker.getSilence(upstream) > maxSilence) {
			context.logger.info('upstream-silent', {request: call.head.callerRequestId, upstream: getUpstreamKey(upstream), limit: Math.round(maxSilence)});
			cancel();
		}
	});
};

/** Records the outcome in the state of the upstream, with the durations of all answers but streams. */
const recordOutcome = ({call, upstream, context}: Attempt, outcome: ForwardOutcome, duration: Milliseconds): void => {
	switch (outcome.kind) {
		case 'delivered': {
			const hasComparableDuration = call.route.kind !== 'streaming';
			context.tracker.recordResult(upstream, isServerError(outcome.status), hasComparableDuration ? duration : undefined);
			break;
		}

		case 'unsent': {
			break;
		}

		case 'unreachable': {
			context.tracker.recordUnreachable(upstream, outcome.reason);
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
const isConnectionLoss = (outcome: ForwardOutcome): boolean =>
	(outcome.kind === 'spoiled' || outcome.kind === 'failed') && crashLikeReasons.has(outcome.reason);

/** Sends a call to one upstream and delivers its answer. */
export const attemptUpstream = async (call: Call, progress: Progress, {candidate, load}: Assignment, context: ForwarderContext): Promise<ForwardOutcome> => {
	const {upstream, uncachedTokens} = candidate;
	const key = getUpstreamKey(upstream);
	const {prompt} = call.head;
	progress.choice = {
		waited: Math.round(context.clock.monotonic() - call.arrivedAt),
		backlog: Math.round(candidate.backlog),
		running: candidate.load.running,
		unreadTokens: candidate.load.unreadTokens,
		queuedTokens: candidate.load.queuedTokens,
		uncachedTokens,
		rereadTokens: candidate.rereadTokens,
	};
	progress.connectionWait = undefined;
	progress.answerEnd = undefined;
	const activity = context.tracker.trackRequest(upstream);
	const attempt: Attempt = {
		call, progress, upstream, context, load, activity, startedAt: context.clock.monotonic(), sentAt: undefined,
		expectedFirstToken: candidate.backlog + (uncachedTokens / candidate.prefillRate),
	};
	if (prompt !== undefined) {
		context.tracker.recordPrefill(key, prompt);
		context.reportExchange.addPrefill({upstream: key, model: prompt.model, parts: prompt.parts});
	}

	const service = context.view.getRoutes()?.services.get(call.service);
	// In each of the two connection pools of an upstream, a host uses an equal part of the service's connection limit, less 10 %, but at least 4 connections.
	const connections = Math.max(4, Math.floor((service?.maxConnections ?? 64) * 0.9 / context.countHosts()));
	const {outcome, cancel} = send(buildUpstreamRequest(call, progress, upstream, context), {
		agent: context.tracker.getAgent(upstream, call.route.kind, connections),
		protocol: context.protocol,
		clock: context.clock,
		onSent() {
			progress.isSent = true;
			attempt.sentAt = context.clock.monotonic();
			recordConnectionWait(attempt);
		},
	});
	progress.cancel = cancel;
	const stopWatching = watchForSilence(attempt, candidate.load.unreadTokens + uncachedTokens, cancel);
	const attemptOutcome = await handleSendOutcome(attempt, await outcome);
	stopWatching();
	activity.end();
	load.end();
	const isAbandoned = progress.hasTimedOut || progress.isCallerGone;
	if (!isAbandoned) {
		recordOutcome(attempt, attemptOutcome, context.clock.monotonic() - (attempt.sentAt ?? attempt.startedAt));
	}

	if (!isAbandoned && isConnectionLoss(attemptOutcome)) {
		void reportCrash(call, upstream, context);
	}

	return attemptOutcome;
};
