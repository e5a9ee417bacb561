import {cutResponse} from '@gentianlift/errors';
import {decideRetry} from '@gentianlift/routing';
import type {Milliseconds} from '@gentianlift/types';
import {createAttemptMaker} from './send/make-attempt.js';
import {createRetryBudgets, grantRetry, restoreUnusedRetry} from './send/retry-budgets.js';
import {createCallAnswers} from './call-answers.js';
import {reportEnd, reportOpen, type CallEnd} from './call-end.js';
import type {ForwardOutcome} from './deliver/forward-outcome.js';
import {
	createProgress, isAbandoned, type Call, type Progress,
} from './call.js';
import {findBlockingSuspect, findObstacleToAttempt, mayCrashAgain} from './crashes/crash-blame.js';
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
	/** Answers the calls whose answers haven't begun, as this host stops: those that have not run are to be sent to another host. */
	answerCalls: () => void;
	/** Cuts the answers that have begun, as this host stops. */
	cutCalls: () => void;
	/** Logs the calls that are open, as the process is about to end over them. */
	reportOpenCalls: () => void;
};

/** Time that a caller has to read an answer that was written for it. */
const maxReadingTime: Milliseconds = 30_000;

/** Returns the end of a call whose caller waits no longer. */
const getAbandonedEnd = ({endedFor}: Progress): CallEnd => ({outcome: endedFor ?? 'caller-gone'});

/** Creates a forwarder. */
export const createForwarder = (context: ForwarderContext): Forwarder => {
	const {clock, logger, metrics} = context;
	const {
		answerWithError, giveUp, refuseEarly, endBlocked, endOnStop, endOnDeadline,
	} = createCallAnswers(context);
	const queue = createRequestQueue(context);
	const retries = createRetryBudgets(context);
	const makeAttempt = createAttemptMaker(context, queue, retries);
	const openCalls = new Map<Call, Progress>();

	/** Whether another host has forwarded a call to this one, which can't reach the upstreams either and has not tried to run it. */
	const isMisdirected = ({forwarded, service}: Call, {possibleExecutions}: Progress): boolean =>
		forwarded?.possibleExecutions === possibleExecutions && context.links.isCut(service);

	/** Ends a call that got no upstream from the queue. */
	const endUnassigned = (call: Call, progress: Progress, lastOutcome: ForwardOutcome | undefined): CallEnd => {
		if (isAbandoned(progress)) {
			return getAbandonedEnd(progress);
		}

		if (progress.isReturned || (progress.refusal !== undefined && context.getServingEnd() < call.leavesAt)) {
			return endOnStop(call, progress);
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
		const isAllowed = decision.kind === 'resend' && (progress.attempts === 0 || grantRetry(call, progress, retries));
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

	/** Makes attempts until the call has ended. */
	const makeAttempts = async (call: Call, progress: Progress): Promise<CallEnd> => {
		let lastOutcome: ForwardOutcome | undefined;
		for (;;) {
			if (isAbandoned(progress)) {
				return getAbandonedEnd(progress);
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
			if (isAbandoned(progress)) {
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
		if (isAbandoned(progress)) {
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
		progress.endedFor = 'timeout';
		endOnDeadline(call, progress);
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

	/** Counts what a caller hasn't read of its answer, until it has or its connection is closed; it has some time for that. */
	const holdUntilRead = ({response, head}: Call, {held}: Progress): void => {
		if (response.writableFinished || response.destroyed) {
			held.end();
			return;
		}

		held.hold(response.writableLength, () => {
			cutResponse(response);
		});
		const cancelTimer = clock.after(maxReadingTime, () => {
			logger.info('answer-unread', {request: head.callerRequestId, bytes: response.writableLength});
			cutResponse(response);
		});
		response.once('close', () => {
			cancelTimer();
			held.end();
		});
	};

	/** Ends a call as this host stops, and cancels its queueing or its attempt. */
	const stopCall = (call: Call, progress: Progress): void => {
		if (!isAbandoned(progress) && !call.response.writableEnded) {
			endOnStop(call, progress);
			progress.endedFor = 'host-stopping';
			progress.cancel?.();
		}
	};

	return {
		onLoadChange: queue.requestDispatch,
		getQueueLength: queue.getLength,
		answerCalls() {
			for (const [call, progress] of openCalls) {
				if (!call.response.headersSent) {
					stopCall(call, progress);
				}
			}
		},
		cutCalls() {
			for (const [call, progress] of openCalls) {
				stopCall(call, progress);
			}
		},
		reportOpenCalls() {
			for (const [call, progress] of openCalls) {
				reportOpen(call, progress, context);
			}
		},
		async forward(call) {
			const progress = createProgress(context.memory.open(call.head.callerRequestId));
			progress.lastEventId = call.head.lastEventId;
			progress.streamVersion = call.streamVersion;
			progress.possibleExecutions = call.forwarded?.possibleExecutions ?? 0;
			progress.hasBegun = call.forwarded?.resumption?.hasBegun ?? false;
			if (call.forwarded === undefined) {
				retries.addRequest(call.service);
			}

			openCalls.set(call, progress);
			const cancelTimer = clock.after(Math.max(0, call.deadline - clock.monotonic()), () => {
				endOnTimeout(call, progress);
			});
			const onClose = (): void => {
				if (!call.response.writableFinished) {
					handleCallerDisconnect(call, progress);
				}
			};

			call.response.once('close', onClose);
			if (call.deadline <= clock.monotonic()) {
				// The timer would run only after an attempt has begun.
				endOnTimeout(call, progress);
			}

			const end = await endCall(call, progress);
			restoreUnusedRetry(call, progress, retries);
			cancelTimer();
			// The listener would keep the request's body until the caller has read the answer.
			call.response.off('close', onClose);
			openCalls.delete(call);
			holdUntilRead(call, progress);
			reportEnd(call, progress, end, context);
		},
	};
};
