import {cutResponse, type ErrorKind} from '@gentianlift/errors';
import {
	createRetryBudget, decideRetry, getUpstreamKey, type EarlyRefusal, type RetryBudget, type SuspectId,
} from '@gentianlift/routing';
import type {Milliseconds} from '@gentianlift/types';
import {createAttemptMaker} from './send/make-attempt.js';
import {
	getFailureReason, getRefusalKind, reportEnd, type CallEnd,
} from './call-end.js';
import type {ForwardOutcome} from './deliver/forward-outcome.js';
import {createProgress, type Call, type Progress} from './call.js';
import {writeBufferedAnswer} from './deliver/deliver-buffered.js';
import {findBlockingSuspect, findObstacleToAttempt, mayCrashAgain} from './crashes/crash-blame.js';
import {writeErrorAnswer, type ErrorAnswer} from './callers/error-answer.js';
import type {ForwarderContext} from './context.js';
import {getReceivedAnswer} from './deliver/received-answer.js';
import {createRequestQueue} from './queue/request-queue.js';

/** Sends each call to upstreams until one answers or no further attempt is allowed. */
export type Forwarder = {
	/** Forwards a call; resolves when the final answer was written, or when the last attempt has ended after the caller disconnected or the deadline passed. */
	forward: (call: Call) => Promise<void>;
	/** Rechecks queued calls after the load of upstreams has changed. */
	onLoadChange: () => void;
	/** Returns the number of calls that are queued at this host. */
	getQueueLength: () => number;
};

/** Retry-After of answers to requests that no upstream could take. */
const retryAfterDelay: Milliseconds = 500;

/** Part of the time until the first rest ends by which callers return later at random. */
const retryDelaySpread = 0.25;

/** Error for a request without further attempts that may have executed. */
const maybeExecuted: ErrorAnswer = {kind: 'upstream-reset', ran: 'unknown'};

/** Returns the end of a call whose caller waits no longer. */
const getAbandonedEnd = ({hasTimedOut}: Progress): CallEnd => ({outcome: hasTimedOut ? 'timeout' : 'caller-gone'});

/** Creates a forwarder. */
export const createForwarder = (context: ForwarderContext): Forwarder => {
	const {clock, logger, metrics} = context;
	const queue = createRequestQueue(context);
	const makeAttempt = createAttemptMaker(context, queue);
	const budgets = new Map<string, RetryBudget>();

	const getRetryBudget = (service: string): RetryBudget => {
		const existing = budgets.get(service);
		if (existing !== undefined) {
			return existing;
		}

		const budget = createRetryBudget(context.retryLimit);
		budgets.set(service, budget);
		return budget;
	};

	/** Writes an error answer, or closes the connection if an answer has already begun. */
	const answerWithError = (call: Call, errorAnswer: ErrorAnswer): CallEnd => {
		const {response, head} = call;
		if (response.headersSent) {
			// Closing the connection is the only way to signal that the answer is incomplete.
			cutResponse(response);
			return {outcome: 'cut', reason: errorAnswer.kind};
		}

		writeErrorAnswer({
			response, protocol: context.protocol, caller: head, isClosing: context.isStopping(),
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

	/** Whether another host has forwarded a call to this one, which can't reach the upstreams either and has not tried to run it. */
	const isMisdirected = ({forwarded, service}: Call, {possibleExecutions}: Progress): boolean =>
		forwarded?.possibleExecutions === possibleExecutions && context.links.isCut(service);

	/** Ends a call without further attempts, with the last upstream's own error answer if there is one. */
	const giveUp = (call: Call, progress: Progress, lastOutcome: ForwardOutcome | undefined): CallEnd => {
		if (lastOutcome?.kind === 'failed' && lastOutcome.buffered !== undefined && !call.response.headersSent) {
			writeBufferedAnswer(call, lastOutcome.buffered, context.isStopping());
			return {outcome: 'upstream-failure', reason: lastOutcome.reason};
		}

		const end = answerWithError(call, getFinalError(call, progress, getRefusalKind(call, lastOutcome)));
		return {...end, lastFailure: getFailureReason(lastOutcome)};
	};

	/** Refuses a call whose caller would leave before the first token, and says when a retry is useful. */
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

	/** Ends a call that got no upstream from the queue. */
	const endUnassigned = (call: Call, progress: Progress, lastOutcome: ForwardOutcome | undefined): CallEnd => {
		if (progress.hasTimedOut || progress.isCallerGone) {
			return getAbandonedEnd(progress);
		}

		if (progress.refusal !== undefined) {
			return refuseEarly(call, progress.refusal);
		}

		const suspect = findBlockingSuspect(call, progress, context);
		return suspect === undefined ? giveUp(call, progress, lastOutcome) : endBlocked(call, progress, suspect);
	};

	/** Decides whether to try another upstream; while no attempt has reached an upstream, the retry budget isn't charged. */
	const decideNextAttempt = (call: Call, progress: Progress, lastOutcome: Exclude<ForwardOutcome, {kind: 'delivered'}>, mayCrashUpstream: boolean): boolean => {
		if (lastOutcome.kind === 'spoiled') {
			return false;
		}

		const decision = decideRetry({
			isNotExecuted: lastOutcome.kind !== 'failed',
			mayExecuteAgain: call.mayExecuteAgain,
			possibleExecutions: progress.possibleExecutions,
			maxUpstreams: call.route.maxUpstreams,
			attempts: progress.attempts,
			remainingTime: call.deadline - clock.monotonic(),
			mayCrashUpstream,
		});
		const isAllowed = decision.kind === 'resend' && (progress.attempts === 0 || getRetryBudget(call.service).take(clock.monotonic(), context.countHosts()));
		const outcome = decision.kind === 'stop' ? decision.reason : (isAllowed ? 'resend' : 'budget');
		metrics.count('resend_decisions_total', {outcome});
		logger.info('attempt-failed', {
			request: call.head.callerRequestId, upstream: [...progress.tried].at(-1), kind: lastOutcome.kind, reason: lastOutcome.reason, decision: outcome,
		});
		return isAllowed;
	};

	/** Counts an attempt that has ended by its outcome. */
	const countAttempt = (progress: Progress, lastOutcome: ForwardOutcome): void => {
		progress.isSent = false;
		progress.attempts += lastOutcome.kind === 'unsent' || lastOutcome.kind === 'unreachable' ? 0 : 1;
		progress.possibleExecutions += lastOutcome.kind === 'failed' || lastOutcome.kind === 'spoiled' ? 1 : 0;
	};

	/** Ends a call that must not be sent to an upstream, as a suspect of crashes is blocked. */
	const endBlocked = (call: Call, progress: Progress, suspect: SuspectId): CallEnd => {
		const kind = 'suspected-of-crashes';
		metrics.count('refusals_total', {reason: kind});
		logger.info('call-blocked', {
			request: call.head.callerRequestId, suspect, upstreams: context.suspects.getCrashes(suspect, clock.monotonic()).map(({upstream, age}) => `${upstream}:${Math.round(age)}`).join(','),
		});
		return answerWithError(call, progress.possibleExecutions > 0 ? maybeExecuted : {kind});
	};

	/** Makes attempts until the call has ended. */
	const makeAttempts = async (call: Call, progress: Progress): Promise<CallEnd> => {
		let lastOutcome: ForwardOutcome | undefined;
		for (;;) {
			if (progress.isCallerGone) {
				return {outcome: 'caller-gone'};
			}

			const obstacle = findObstacleToAttempt(call, progress, context);
			if (obstacle !== undefined) {
				return endBlocked(call, progress, obstacle);
			}

			if (isMisdirected(call, progress)) {
				return answerWithError(call, {kind: 'misdirected'});
			}

			// eslint-disable-next-line no-await-in-loop -- Upstreams are tried one at a time.
			const outcome = await makeAttempt(call, progress, lastOutcome);
			if (outcome === undefined) {
				return endUnassigned(call, progress, lastOutcome);
			}

			lastOutcome = outcome;
			countAttempt(progress, lastOutcome);
			if (lastOutcome.kind === 'delivered') {
				return {outcome: 'delivered', reason: String(lastOutcome.status)};
			}

			// eslint-disable-next-line no-await-in-loop -- Upstreams are tried one at a time.
			const mayCrashUpstream = lastOutcome.kind === 'failed' && call.mayExecuteAgain && await mayCrashAgain(call, progress, context);
			if (progress.hasTimedOut || progress.isCallerGone) {
				return getAbandonedEnd(progress);
			}

			if (!decideNextAttempt(call, progress, lastOutcome, mayCrashUpstream)) {
				return giveUp(call, progress, lastOutcome);
			}
		}
	};

	/** Ends a call whose handling has thrown; it may have run. An answer that is written completely stays as it is. */
	const endOnError = (call: Call, progress: Progress, error: unknown): CallEnd => {
		const kind = 'internal';
		logger.error('call-failed', {request: call.head.callerRequestId, target: call.target, reason: error instanceof Error ? error.stack : String(error)});
		progress.cancel?.();
		if (progress.hasTimedOut || progress.isCallerGone) {
			return getAbandonedEnd(progress);
		}

		return call.response.writableEnded ? {outcome: 'delivered', reason: kind} : answerWithError(call, {kind});
	};

	/** Makes attempts until the call has ended, whatever is thrown. */
	const endCall = async (call: Call, progress: Progress): Promise<CallEnd> => {
		try {
			return await makeAttempts(call, progress);
		} catch (error) {
			return endOnError(call, progress, error);
		}
	};

	/** Answers a call that has reached its deadline, and cancels its queueing or its attempt. */
	const endOnTimeout = (call: Call, progress: Progress): void => {
		progress.hasTimedOut = true;
		const isNotExecuted = progress.possibleExecutions === 0 && !progress.isSent;
		answerWithError(call, isNotExecuted ? {kind: 'deadline-unreachable', retryAfter: retryAfterDelay} : {kind: 'request-timeout', ran: 'unknown'});
		progress.cancel?.();
	};

	/** Cancels the queueing or the attempt of a caller that has disconnected. An attempt of a non-idempotent call that was sent goes on, as it can't be repeated. */
	const handleCallerDisconnect = (call: Call, progress: Progress): void => {
		progress.isCallerGone = true;
		progress.receivedAnswer = getReceivedAnswer(call.response);
		if (call.mayExecuteAgain || call.route.kind === 'streaming' || !progress.isSent) {
			progress.cancel?.();
		}
	};

	return {
		onLoadChange: queue.requestDispatch,
		getQueueLength: queue.getLength,
		async forward(call) {
			const progress = createProgress();
			progress.lastEventId = call.head.lastEventId;
			progress.streamVersion = call.streamVersion;
			progress.possibleExecutions = call.forwarded?.possibleExecutions ?? 0;
			progress.hasBegun = call.forwarded?.resumption?.hasBegun ?? false;
			if (call.forwarded === undefined) {
				getRetryBudget(call.service).addRequest(clock.monotonic());
			}

			const cancelTimer = clock.after(Math.max(0, call.deadline - clock.monotonic()), () => {
				endOnTimeout(call, progress);
			});
			call.response.once('close', () => {
				if (!call.response.writableFinished) {
					handleCallerDisconnect(call, progress);
				}
			});
			const end = await endCall(call, progress);
			cancelTimer();
			reportEnd(call, progress, end, context);
		},
	};
};
