import {cutResponse, type ErrorKind} from '@gentianlift/errors';
import {getUpstreamKey, type EarlyRefusal, type SuspectId} from '@gentianlift/routing';
import type {Milliseconds} from '@gentianlift/types';
import type {Call, Progress} from './call.js';
import {getFailureReason, getRefusalKind, type CallEnd} from './call-end.js';
import {retryAfterDelays, writeErrorAnswer, type ErrorAnswer} from './callers/error-answer.js';
import type {ForwarderContext} from './context.js';
import {writeBufferedAnswer} from './deliver/deliver-buffered.js';
import type {ForwardOutcome} from './deliver/forward-outcome.js';

/** Writes the answers of calls that end without an upstream's success; each command returns how the call has ended. */
export type CallAnswers = {
	/** Writes an error answer, or closes the connection if an answer has already begun. */
	answerWithError: (call: Call, errorAnswer: ErrorAnswer) => CallEnd;
	/** Ends a call without further attempts, with the last upstream's own error answer if there is one. */
	giveUp: (call: Call, progress: Progress, lastOutcome: ForwardOutcome | undefined) => CallEnd;
	/** Refuses a call whose caller would leave before the first token, and says when a retry is useful. */
	refuseEarly: (call: Call, refusal: EarlyRefusal) => CallEnd;
	/** Ends a call that must not be sent to an upstream, as a suspect of crashes is blocked. */
	endBlocked: (call: Call, progress: Progress, suspect: SuspectId) => CallEnd;
	/** Ends a call that can't be answered before this host stops. */
	endOnStop: (call: Call, progress: Progress) => CallEnd;
	/** Ends a call at its deadline. */
	endOnDeadline: (call: Call, progress: Progress) => CallEnd;
};

/** Retry-After of answers to requests that no upstream could take. */
const retryAfterDelay: Milliseconds = 500;

/** Part of the time until the first rest ends by which callers return later at random. */
const retryDelaySpread = 0.25;

/** Error for a request without further attempts that may have executed. */
const maybeExecuted: ErrorAnswer = {kind: 'upstream-reset', ran: 'unknown'};

/** Creates the answers. */
export const createCallAnswers = (context: ForwarderContext): CallAnswers => {
	const {clock, logger, metrics} = context;

	const answerWithError = (call: Call, errorAnswer: ErrorAnswer): CallEnd => {
		const {response, head} = call;
		if (response.headersSent) {
			// Closing the connection is the only way to signal that the answer is incomplete.
			cutResponse(response);
			return {outcome: 'cut', reason: errorAnswer.kind};
		}

		writeErrorAnswer({
			response, protocol: context.protocol, caller: head, isClosing: call.isClosing(),
		}, errorAnswer);
		return {outcome: 'own-answer', reason: errorAnswer.kind};
	};

	/** Returns the delay after which a retry of a refused call is useful: when the first rest ends if all upstreams of its service rest, with a random part so that callers don't return at once. */
	const getRetryDelay = ({service}: Call): Milliseconds => {
		const rest = Math.min(...context.view.getUpstreams(service).map(upstream => context.rests.getRemaining(getUpstreamKey(upstream))));
		return Number.isFinite(rest) && rest > 0 ? Math.max(retryAfterDelay, rest * (1 + (context.random.next() * retryDelaySpread))) : retryAfterDelay;
	};

	/** Returns the error for a call without further attempts; after an attempt that may have executed the request, the answer must not say that it did not run. */
	const getFinalError = (call: Call, progress: Progress, kind: ErrorKind): ErrorAnswer =>
		progress.possibleExecutions > 0 ? maybeExecuted : {kind, retryAfter: getRetryDelay(call)};

	const giveUp = (call: Call, progress: Progress, lastOutcome: ForwardOutcome | undefined): CallEnd => {
		if (lastOutcome?.kind === 'failed' && lastOutcome.buffered !== undefined && !call.response.headersSent) {
			writeBufferedAnswer(call, lastOutcome.buffered, call.isClosing());
			return {outcome: 'upstream-failure', reason: lastOutcome.reason};
		}

		const end = answerWithError(call, getFinalError(call, progress, getRefusalKind(call, lastOutcome)));
		return {...end, lastFailure: getFailureReason(lastOutcome)};
	};

	const refuseEarly = (call: Call, refusal: EarlyRefusal): CallEnd => {
		const {expected, remaining, backlog, otherHostsTokens, tokensAhead, retryAfter} = refusal;
		const kind = 'deadline-unreachable';
		metrics.count('refusals_total', {reason: kind});
		metrics.count('early_refusals_total', {route: call.route.name});
		logger.info('call-refused', {
			request: call.head.callerRequestId,
			reason: kind,
			route: call.route.name,
			rank: call.rank,
			expected: Math.round(expected),
			remaining: Math.round(remaining),
			backlog: Math.round(backlog),
			otherHostsTokens,
			tokensAhead,
			retryAfter,
		});
		return answerWithError(call, {kind, retryAfter});
	};

	/** Whether another host has forwarded a call to this one, which has not tried to run it. */
	const isUntriedForOther = ({forwarded}: Call, {possibleExecutions, isSent}: Progress): boolean =>
		forwarded?.possibleExecutions === possibleExecutions && !isSent;

	/** Returns the error for a call that ends as this host stops. */
	const getStopError = (call: Call, progress: Progress): ErrorAnswer => {
		if (isUntriedForOther(call, progress)) {
			return {kind: 'misdirected'};
		}

		const kind = 'host-stopping';
		return progress.possibleExecutions === 0 && !progress.isSent ? {kind, retryAfter: retryAfterDelays[kind]!} : {kind: 'outcome-unknown'};
	};

	const endOnStop = (call: Call, progress: Progress): CallEnd => {
		const reason = 'host-stopping';
		metrics.count('refusals_total', {reason});
		logger.info('call-refused', {
			request: call.head.callerRequestId,
			reason,
			route: call.route.name,
			rank: call.rank,
			executions: progress.possibleExecutions,
			sent: progress.isSent,
			left: Math.round(context.getServingEnd() - clock.monotonic()),
		});
		return answerWithError(call, getStopError(call, progress));
	};

	const endBlocked = (call: Call, progress: Progress, suspect: SuspectId): CallEnd => {
		const kind = 'suspected-of-crashes';
		metrics.count('refusals_total', {reason: kind});
		logger.info('call-blocked', {
			request: call.head.callerRequestId, suspect, upstreams: context.suspects.getCrashes(suspect, clock.monotonic()).map(({upstream, age}) => `${upstream}:${Math.round(age)}`).join(','),
		});
		return answerWithError(call, progress.possibleExecutions > 0 ? maybeExecuted : {kind});
	};

	const endOnDeadline = (call: Call, progress: Progress): CallEnd => {
		const isNotExecuted = progress.possibleExecutions === 0 && !progress.isSent;
		return answerWithError(call, isNotExecuted ? {kind: 'deadline-unreachable', retryAfter: retryAfterDelay} : {kind: 'request-timeout', ran: 'unknown'});
	};

	return {
		answerWithError, giveUp, refuseEarly, endBlocked, endOnStop, endOnDeadline,
	};
};
