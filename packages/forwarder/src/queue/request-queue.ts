import {getUpstreamKey} from '@gentianlift/routing';
import type {Milliseconds} from '@gentianlift/types';
import {isAbandoned, type Call, type Progress} from '../call.js';
import {findBlockingSuspect} from '../crashes/crash-blame.js';
import type {ForwarderContext} from '../context.js';
import type {Assignment} from './assignment.js';
import {createBacklogLimits} from './backlog-limits.js';
import {createDecisions, type Decision} from './decisions.js';
import {
	createDispatchPass, forgetRoom, recordLeftCall, type DispatchPass,
} from './dispatch-pass.js';
import {createDispatchSchedule, dispatchInterval} from './dispatch-schedule.js';
import {createDispatchTurns} from './dispatch-turns.js';
import {createEarlyRefusals} from './early-refusals.js';
import {createQueueEntry, type QueueEntry} from './queue-entry.js';
import {addWaitingCall, createQueuedTokenReports} from './queued-tokens.js';
import {startRequestLoad} from './request-load.js';
import {createReviews} from './reviews.js';
import {isTooLateToStart} from './serving-end.js';
import {createWaitingLine} from './waiting-line.js';
import {createZoneDecisions} from './zone-decisions.js';

export type {Assignment} from './assignment.js';

/** Queue of this host for calls that no upstream can take yet without delaying calls of higher ranks. */
export type RequestQueue = {
	/** Resolves with an assignment, or with undefined if there is no upstream for the call, the call has ended, it is refused (`progress.refusal`) or given back as the host stops (`progress.isReturned`), or it is suspected of crashes by now. */
	enqueue: (call: Call, progress: Progress) => Promise<Assignment | undefined>;
	/** Requests a dispatch pass, which begins as soon as the pacing allows, after the load of an upstream has changed. */
	requestDispatch: () => void;
	/** Returns the number of queued calls. */
	getLength: () => number;
};

/** Creates an empty queue. */
export const createRequestQueue = (context: ForwarderContext): RequestQueue => {
	const {clock, metrics, logger} = context;
	const line = createWaitingLine<QueueEntry>();
	const refusals = createEarlyRefusals(context);
	const reports = createQueuedTokenReports(context);
	const backlogLimits = createBacklogLimits();
	const turns = createDispatchTurns(context);
	const zones = createZoneDecisions(context);
	const decide = createDecisions(context, {
		refusals, backlogLimits, turns, zones,
	});
	const reviews = createReviews({
		context, refusals, backlogLimits, turns,
	});

	const assign = ({call, enqueuedAt, resolve}: QueueEntry, {candidate, isLatencySensitive}: Extract<Decision, {kind: 'placed'}>, now: Milliseconds): void => {
		const key = getUpstreamKey(candidate.upstream);
		metrics.record('waiting_duration', now - enqueuedAt, {route: call.route.name});
		const load = startRequestLoad(context.reportExchange, key, candidate.uncachedTokens, isLatencySensitive ? 1 : 0);
		resolve({
			candidate, load, permit: context.limits.claim(key), departure: zones.recordSend(call, candidate),
		});
	};

	/** Counts a call that stays queued in the pass. */
	const countWaiting = ({call, rank, wait}: QueueEntry, {queuedTokens, permitWaiters}: DispatchPass): void => {
		switch (wait?.kind) {
			case 'upstream': {
				addWaitingCall(queuedTokens, rank, wait.key, wait.uncachedTokens);
				break;
			}

			case 'permit': {
				permitWaiters.set(call.service, (permitWaiters.get(call.service) ?? 0) + 1);
				break;
			}

			case undefined: {
				break;
			}
		}
	};

	/** Carries a decision out; returns whether the call stays queued. */
	const carryOut = (entry: QueueEntry, decision: Decision, pass: DispatchPass): boolean => {
		switch (decision.kind) {
			case 'placed': {
				assign(entry, decision, pass.now);
				forgetRoom(entry.call.service, pass);
				return false;
			}

			case 'impossible': {
				entry.resolve(undefined);
				return false;
			}

			case 'refused': {
				entry.progress.refusal = decision.refusal;
				entry.resolve(undefined);
				return false;
			}

			case 'waits-for-permit': {
				entry.wait = {kind: 'permit', decidedAt: pass.now};
				return true;
			}

			case 'waits': {
				const {upstream, uncachedTokens} = decision.candidate;
				entry.wait = {
					kind: 'upstream', key: getUpstreamKey(upstream), uncachedTokens, decidedAt: pass.now,
				};
				recordLeftCall(pass, entry.rank, entry.group);
				return true;
			}
		}
	};

	/** Decides on an entry and carries the decision out, or drops one that has ended; returns whether it stays queued. */
	const decideOn = (entry: QueueEntry, pass: DispatchPass): boolean => {
		const {call, progress} = entry;
		if (findBlockingSuspect(call, progress, context) !== undefined) {
			entry.resolve(undefined);
			return false;
		}

		if (isTooLateToStart(call, progress, pass.now, context)) {
			progress.isReturned = true;
			entry.resolve(undefined);
			return false;
		}

		return carryOut(entry, decide(entry, pass), pass);
	};

	const processEntry = (entry: QueueEntry, pass: DispatchPass): boolean => {
		if (isAbandoned(entry.progress)) {
			entry.resolve(undefined);
			return false;
		}

		if (reviews.isDue(entry, pass) && !decideOn(entry, pass)) {
			return false;
		}

		countWaiting(entry, pass);
		return true;
	};

	/** Dispatches the entry or drops an ended one; returns whether it stays queued. One for which that fails costs no other its pass. */
	const processSafely = (entry: QueueEntry, pass: DispatchPass): boolean => {
		try {
			return processEntry(entry, pass);
		} catch (error) {
			logger.error('dispatch-failed', {request: entry.call.head.callerRequestId, reason: (error as Error).stack});
			entry.resolve(undefined);
			return false;
		}
	};

	/** Makes a dispatch pass: dispatches what it can in queue order and reports the tokens that stay queued. */
	const dispatch = (): void => {
		const pass = createDispatchPass(clock.monotonic(), line.getLength());
		line.retain(pass.now, entry => processSafely(entry, pass));
		refusals.endPass(pass.queuedTokens.byRank, pass.now);
		reports.report(pass.queuedTokens.byUpstream);
		turns.setWaiting(pass.queuedTokens.byUpstream.keys(), pass.now);
	};

	const schedule = createDispatchSchedule({clock, hasWork: () => line.getLength() > 0 || reports.hasReported(), dispatch});

	const removeEntry = (entry: QueueEntry): void => {
		line.remove(entry);
		entry.resolve(undefined);
		schedule.request(0);
	};

	return {
		async enqueue(call, progress) {
			return new Promise(resolve => {
				const now = clock.monotonic();
				const entry = createQueueEntry(call, progress, now, resolve);
				const isWaiting = !line.isFirst(entry, now) || processSafely(entry, createDispatchPass(now, line.getLength()));
				if (isWaiting) {
					progress.cancel = () => {
						removeEntry(entry);
					};

					line.add(entry, now);
					schedule.request(dispatchInterval);
				}
			});
		},
		requestDispatch() {
			schedule.request(0);
		},
		getLength: line.getLength,
	};
};
