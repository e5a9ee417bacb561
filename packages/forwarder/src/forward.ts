import type {ErrorKind} from '@gentianlift/errors';
import {
	createRetryBudget, decideResend, getUpstreamKey, type RetryBudget,
} from '@gentianlift/routing';
import type {Milliseconds} from '@gentianlift/types';
import {attemptUpstream} from './attempt.js';
import type {AttemptEnd} from './attempt-end.js';
import {
	createProgress, getFingerprint, type Call, type Progress,
} from './call.js';
import {writeHeldAnswer} from './deliver-whole.js';
import {writeOwnAnswer, type OwnAnswer} from './own-answer.js';
import type {Tools} from './tools.js';
import {createWaitingLine} from './waiting-line.js';

/** Sends calls to upstreams until one answers or nothing more may be tried. */
export type Forwarder = {
	/** Resolves when the caller has its final answer, or has gone. */
	forward: (call: Call) => Promise<void>;
	/** Takes in that the load of upstreams has changed. */
	applyLoad: () => void;
};

/** When a caller may come back after no upstream could take its request. */
const retryDelay: Milliseconds = 500;

/** How a call ended, for the log. */
type CallEnd = {outcome: string; reason?: string};

/** Creates a forwarder. */
export const createForwarder = (tools: Tools): Forwarder => {
	const {clock, logger, metrics} = tools;
	const line = createWaitingLine(tools);
	const budgets = new Map<string, RetryBudget>();

	const getBudget = (service: string): RetryBudget => {
		const known = budgets.get(service);
		if (known !== undefined) {
			return known;
		}

		const budget = createRetryBudget(tools.retryBound);
		budgets.set(service, budget);
		return budget;
	};

	const answer = (call: Call, own: OwnAnswer): CallEnd => {
		const {response, head} = call;
		if (response.headersSent) {
			// A cut connection is the only way to say that the answer is incomplete.
			response.destroy();
			return {outcome: 'cut', reason: own.kind};
		}

		writeOwnAnswer({
			response, protocol: tools.protocol, caller: head, isLast: tools.isStopping(),
		}, own);
		return {outcome: 'own-answer', reason: own.kind};
	};

	/** Gets the final answer of a call that no upstream will take any more. */
	const getFinalAnswer = (progress: Progress, kind: ErrorKind): OwnAnswer =>
		progress.upstreamsRun > 0 ? {kind: 'upstream-reset', ran: 'unknown'} : {kind, retryAfter: retryDelay};

	const giveUp = (call: Call, progress: Progress, end: AttemptEnd | undefined): CallEnd => {
		if (end?.kind === 'failed' && end.held !== undefined && !call.response.headersSent) {
			writeHeldAnswer(call, end.held, tools.isStopping());
			return {outcome: 'upstream-failure', reason: end.reason};
		}

		return answer(call, getFinalAnswer(progress, end === undefined ? 'no-upstream' : 'upstream-refused'));
	};

	const mayResend = (call: Call, progress: Progress, end: Exclude<AttemptEnd, {kind: 'delivered'}>): boolean => {
		if (end.kind === 'spoiled') {
			return false;
		}

		const decision = decideResend({
			isNotRun: end.kind !== 'failed',
			isRepeatable: call.isRepeatable,
			upstreamsRun: progress.upstreamsRun,
			mostUpstreams: call.route.mostUpstreams,
			sends: progress.sends,
			timeLeft: call.endsAt - clock.monotonic(),
		});
		const isAllowed = decision.kind === 'resend' && (progress.sends === 0 || getBudget(call.service).take(clock.monotonic(), tools.countHosts()));
		const outcome = decision.kind === 'stop' ? decision.reason : (isAllowed ? 'resend' : 'budget');
		metrics.count('resend_decisions_total', {outcome});
		logger.info('attempt-failed', {
			request: call.head.attempt, upstream: [...progress.tried].at(-1), kind: end.kind, reason: end.reason, decision: outcome,
		});
		return isAllowed;
	};

	const countSend = (progress: Progress, end: AttemptEnd): void => {
		progress.sends += end.kind === 'unreachable' ? 0 : 1;
		progress.upstreamsRun += end.kind === 'failed' || end.kind === 'spoiled' ? 1 : 0;
	};

	const isBlocked = (call: Call): boolean =>
		!tools.suspects.isEmpty() && tools.suspects.isBlocked(getFingerprint(call), clock.monotonic());

	/** A request that ran to its end did not crash its upstream. */
	const clearSuspect = (call: Call): void => {
		if (tools.suspects.isEmpty()) {
			return;
		}

		const fingerprint = getFingerprint(call);
		if (tools.suspects.clear(fingerprint)) {
			tools.notes.addCleared(fingerprint);
		}
	};

	const run = async (call: Call, progress: Progress): Promise<CallEnd> => {
		let last: AttemptEnd | undefined;
		for (;;) {
			if (progress.isCallerGone) {
				return {outcome: 'caller-gone'};
			}

			if (isBlocked(call)) {
				return answer(call, {kind: 'suspected-of-crashes'});
			}

			// eslint-disable-next-line no-await-in-loop -- One upstream after the other.
			const place = await line.enter(call, progress);
			if (place === undefined) {
				const isEnded = progress.isOver || progress.isCallerGone;
				return isEnded ? {outcome: progress.isOver ? 'timeout' : 'caller-gone'} : giveUp(call, progress, last);
			}

			progress.tried.add(getUpstreamKey(place.candidate.upstream));
			// eslint-disable-next-line no-await-in-loop -- One upstream after the other.
			last = await attemptUpstream(call, progress, place, tools);
			line.advance();
			countSend(progress, last);
			if (last.kind === 'delivered') {
				clearSuspect(call);
				return {outcome: 'delivered', reason: String(last.status)};
			}

			if (progress.isOver || progress.isCallerGone) {
				return {outcome: progress.isOver ? 'timeout' : 'caller-gone'};
			}

			if (!mayResend(call, progress, last)) {
				return giveUp(call, progress, last);
			}
		}
	};

	const endOnTime = (call: Call, progress: Progress): void => {
		progress.isOver = true;
		const isUnsent = progress.tried.size === 0;
		answer(call, isUnsent ? {kind: 'deadline-unreachable', retryAfter: retryDelay} : {kind: 'request-timeout', ran: 'unknown'});
		progress.cancel?.();
	};

	/** Ends work for a caller that has gone, except where it could not be done again. */
	const applyDeparture = (call: Call, progress: Progress): void => {
		progress.isCallerGone = true;
		if (call.isRepeatable || call.route.kind === 'streaming') {
			progress.cancel?.();
		}
	};

	const logEnd = (call: Call, progress: Progress, end: CallEnd): void => {
		const duration = clock.monotonic() - call.arrivedAt;
		metrics.count('calls_total', {route: call.route.name, outcome: end.outcome});
		metrics.record('call_duration', duration, {route: call.route.name});
		logger.info('call-ended', {
			request: call.head.attempt,
			route: call.route.name,
			service: call.service,
			customer: call.customer?.name,
			version: call.version,
			upstream: [...progress.tried].at(-1),
			...progress.choice,
			first: progress.firstAt === undefined ? undefined : Math.round(progress.firstAt - call.arrivedAt),
			pause: progress.lastAt === undefined ? undefined : Math.round(progress.longestPause),
			sends: progress.sends,
			outcome: end.outcome,
			reason: end.reason,
			duration: Math.round(duration),
		});
	};

	return {
		applyLoad: line.advance,
		async forward(call) {
			const progress = createProgress();
			progress.lastEvent = call.head.lastEvent;
			getBudget(call.service).addRequest(clock.monotonic());
			const cancelTimer = clock.after(Math.max(0, call.endsAt - clock.monotonic()), () => {
				endOnTime(call, progress);
			});
			call.response.once('close', () => {
				if (!call.response.writableFinished) {
					applyDeparture(call, progress);
				}
			});
			const end = await run(call, progress);
			cancelTimer();
			logEnd(call, progress, end);
		},
	};
};
