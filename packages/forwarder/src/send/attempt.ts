import {getUpstreamKey, sumRankTokens} from '@gentianlift/routing';
import type {Milliseconds} from '@gentianlift/types';
import type {AnsweredOutcome, ForwardOutcome} from '../deliver/forward-outcome.js';
import {
	isAbandoned, markSent, type Call, type Progress,
} from '../call.js';
import {deliverAnswer} from '../deliver/deliver-answer.js';
import {deliverBuffered} from '../deliver/deliver-buffered.js';
import {reportCrash} from '../crashes/report-crash.js';
import type {ForwarderContext} from '../context.js';
import type {Assignment} from '../queue/assignment.js';
import {watchSilence} from '../deliver/watch-silence.js';
import {send, type SendOutcome} from './send.js';
import {countLostAnswer, countUsage, hasRun} from './count-usage.js';
import {
	isConnectionLoss, observeStatements, recordChunk, recordConnectionWait, recordFirstToken, recordOutcome, recordStart, reportSent, type Attempt,
} from './attempt-record.js';
import {buildUpstreamRequest} from './build-upstream-request.js';
import type {RetryBudgets} from './retry-budgets.js';
import {createSilenceDecision} from './successor.js';

/** Silence of an upstream after which a stream that it runs resumes on another one, in addition to the prefill time. */
const resumeSilence: Milliseconds = 1000;
/** Prefill rate of the slowest engines, in tokens per millisecond. */
const minPrefillRate = 15;

/** Delivers an answer, and records what its arrival says of the upstream. */
const deliverAttemptAnswer = async (attempt: Attempt, outcome: AnsweredOutcome): Promise<ForwardOutcome> => {
	const {call, progress, context, activity} = attempt;
	activity.recordBytes();
	if (hasRun(call, outcome.head)) {
		countUsage(call, progress, context);
	}

	return deliverAnswer({
		call, progress, outcome, isClosing: call.isClosing, deliverBody: deliverBuffered,
		onChunk() {
			activity.recordBytes();
			recordChunk(progress, context.clock.monotonic());
		},
		onFirstBytes() {
			recordFirstToken(attempt);
			countUsage(call, progress, context);
		},
		onFirstWrite() {
			recordStart(attempt);
		},
	});
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
			return deliverAttemptAnswer(attempt, outcome);
		}
	}
};

/** Cancels the attempt of a resumable stream once its upstream is silent for too long and the next attempt is granted; returns a function that stops watching. */
const watchForSilence = ({call, upstream, context}: Attempt, {unreadTokens, mayGiveUp, cancel}: {unreadTokens: number; mayGiveUp: () => boolean; cancel: () => void}): (() => void) => {
	if (!call.mayExecuteAgain || call.route.kind !== 'streaming') {
		return () => undefined;
	}

	const maxSilence = resumeSilence + (unreadTokens / minPrefillRate);
	return watchSilence(context.clock, {
		getSilence: () => context.tracker.getSilence(upstream),
		maxSilence,
		onSilent() {
			if (!mayGiveUp()) {
				return;
			}

			context.logger.info('upstream-silent', {request: call.head.callerRequestId, upstream: getUpstreamKey(upstream), limit: Math.round(maxSilence)});
			cancel();
		},
	});
};

/** Returns the number of connections that a host may have in each of the two pools of an upstream: an equal part of the service's limit, less 10 %, but at least 4. */
const getPoolSize = ({service: name}: Call, {view, countHosts}: ForwarderContext): number => {
	const service = view.getRoutes()?.services.get(name);
	return Math.max(4, Math.floor((service?.maxConnections ?? 64) * 0.9 / countHosts()));
};

/** Sends the request of an attempt and delivers the answer. */
const runAttempt = async (attempt: Attempt, {candidate, permit}: Assignment, retries: RetryBudgets): Promise<ForwardOutcome> => {
	const {call, progress, upstream, context} = attempt;
	const mayGiveUp = createSilenceDecision(call, progress, retries, context);
	const {outcome, cancel} = send(buildUpstreamRequest(call, progress, {upstream, permit, mayGiveUp}, context), {
		agent: context.tracker.getAgent(upstream, call.route.kind, getPoolSize(call, context)),
		protocol: context.protocol,
		clock: context.clock,
		onSent(getProcessAge) {
			markSent(progress);
			attempt.getProcessAge = getProcessAge;
			attempt.sentAt = context.clock.monotonic();
			recordConnectionWait(attempt);
			reportSent(call, progress, {upstream: getUpstreamKey(upstream)}, context);
		},
		onHead(head) {
			progress.statements = head.statements;
			observeStatements(attempt, head);
			context.links.recordContact(call.service);
		},
	});
	progress.cancel = cancel;
	const stopWatching = watchForSilence(attempt, {unreadTokens: candidate.load.unreadTokens + candidate.uncachedTokens, mayGiveUp, cancel});
	try {
		return await handleSendOutcome(attempt, await outcome);
	} finally {
		stopWatching();
	}
};

/** Sends a call to one upstream and delivers its answer. */
export const attemptUpstream = async (call: Call, progress: Progress, {assignment, retries}: {assignment: Assignment; retries: RetryBudgets}, context: ForwarderContext): Promise<ForwardOutcome> => {
	const {candidate, load, permit, departure} = assignment;
	const {upstream, uncachedTokens} = candidate;
	const key = getUpstreamKey(upstream);
	const {prompt} = call.head;
	progress.choice = {
		waited: Math.round(context.clock.monotonic() - call.arrivedAt),
		backlog: Math.round(candidate.backlog),
		running: candidate.load.running,
		unreadTokens: candidate.load.unreadTokens,
		queuedTokens: sumRankTokens(candidate.load.queuedTokens),
		uncachedTokens,
		rereadTokens: candidate.rereadTokens,
		departure,
	};
	progress.connectionWait = undefined;
	progress.bodyEnd = undefined;
	progress.hasCrashed = undefined;
	const activity = context.tracker.trackRequest(upstream);
	const attempt: Attempt = {
		call, progress, upstream, context, load, activity, startedAt: context.clock.monotonic(), sentAt: undefined, getProcessAge: undefined,
		expectedFirstToken: candidate.backlog + (uncachedTokens / candidate.prefillRate),
	};
	if (prompt !== undefined) {
		context.tracker.recordPrefill(key, prompt);
		context.reportExchange.addPrefill({upstream: key, model: prompt.model, parts: prompt.parts});
	}

	const attemptOutcome = await runAttempt(attempt, assignment, retries).finally(() => {
		activity.end();
		load.end();
		permit.release();
	});
	const isAwaited = !isAbandoned(progress);
	if (isAwaited) {
		recordOutcome(attempt, attemptOutcome, context.clock.monotonic() - (attempt.sentAt ?? attempt.startedAt));
	}

	if (isAwaited && isConnectionLoss(attemptOutcome)) {
		context.links.check(call.service);
		progress.hasCrashed = reportCrash(call, progress, upstream, context);
		void countLostAnswer(attempt);
	}

	return attemptOutcome;
};
