import {
	chooseUpstream, compareQueued, getUpstreamKey, isLatencySensitiveRoute, type Candidate, type RequestProfile, type Service, type UpstreamKey,
} from '@gentianlift/routing';
import type {Milliseconds} from '@gentianlift/types';
import {createBacklogLimits} from './backlog-limits.js';
import type {Call, Progress} from './call.js';
import {createDispatchTurns} from './dispatch-turns.js';
import {addQueuedTokens, startRequestLoad, type RequestLoad} from './request-load.js';
import type {ForwarderContext} from './context.js';

/** The upstream chosen for a call, and the load that the call adds to it. */
export type Assignment = {candidate: Candidate; load: RequestLoad};

/** Queue of this host for calls that no upstream can take yet without delaying calls of higher ranks. */
export type RequestQueue = {
	/** Resolves with an assignment, or with undefined if there is no upstream for the call or the call has ended. */
	enqueue: (call: Call, progress: Progress) => Promise<Assignment | undefined>;
	/** Requests a dispatch pass, which begins as soon as the pacing allows, after the load of an upstream has changed. */
	requestDispatch: () => void;
	/** Returns the number of queued calls. */
	getLength: () => number;
};

/** Interval between dispatch passes while no load changes, as estimated backlogs shrink with time. */
const dispatchInterval: Milliseconds = 15;
/** Minimum interval between two passes; each load report of another host requests a pass. */
const minDispatchInterval: Milliseconds = 4;
/** Minimum interval between two passes as a multiple of the last one's duration, which bounds the processor time spent on a long queue. */
const dispatchPauseFactor = 4;

/** Smallest change of the tokens queued for an upstream that is reported to other hosts. */
const minReportedTokenChange = 3000;

type QueueEntry = {
	call: Call;
	progress: Progress;
	enqueuedAt: Milliseconds;
	resolve: (assignment: Assignment | undefined) => void;
};

/** Result of trying to dispatch a queued call; `candidate` of a call that stays queued is the upstream it waits for in this pass; the next pass chooses again. */
type Decision = {kind: 'placed'; candidate: Candidate; isLatencySensitive: boolean} | {kind: 'waits'; candidate: Candidate} | {kind: 'impossible'};

/** Uncached prompt tokens of this host's queued calls, by the upstream that they wait for. */
type QueuedTokens = Map<UpstreamKey, number>;

/** Creates an empty queue. */
export const createRequestQueue = (context: ForwarderContext): RequestQueue => {
	const {clock, view, tracker, metrics} = context;
	let entries: QueueEntry[] = [];
	/** The next dispatch pass; undefined if none is scheduled. */
	let nextDispatch: {at: Milliseconds; cancel: () => void} | undefined;
	/** Earliest time of the next pass, by the pacing. */
	let earliestDispatch = Number.NEGATIVE_INFINITY;
	/** Upstreams for which queued tokens were reported to other hosts. */
	let reportedUpstreams = new Set<UpstreamKey>();

	const backlogLimits = createBacklogLimits();
	const turns = createDispatchTurns(context);

	/** Returns the remaining time until the route's latency target. */
	const getSlack = ({call}: QueueEntry): Milliseconds => call.arrivedAt + call.route.latencyTarget - clock.monotonic();

	const getQueueOrder = (entry: QueueEntry) => ({
		rank: entry.call.rank,
		dueAt: entry.call.arrivedAt + entry.call.route.latencyTarget,
		isLate: getSlack(entry) <= 0,
	});

	const getRequestProfile = (entry: QueueEntry, isLatencySensitive: boolean): RequestProfile => ({
		zone: context.zone,
		hasPrompt: entry.call.head.prompt !== undefined,
		isLatencySensitive,
		slack: getSlack(entry),
	});

	const getCandidates = ({call, progress}: QueueEntry, service: Service, tokensAhead: QueuedTokens): Candidate[] => {
		const upstreams = view.getUpstreams(call.service).filter(upstream => !progress.tried.has(getUpstreamKey(upstream)));
		return tracker.getCandidates(upstreams, service, call.head.prompt, tokensAhead);
	};

	/** Chooses an upstream for a call, and decides whether the call may go to it now; calls without a prompt are exempt from the backlog limit and take no turns. */
	const decide = (entry: QueueEntry, tokensAhead: QueuedTokens): Decision => {
		const {call} = entry;
		const table = view.getRoutes();
		const service = table?.services.get(call.service);
		const backlogLimit = table === undefined ? 0 : backlogLimits.get(table, call);
		const candidates = service === undefined ? [] : getCandidates(entry, service, tokensAhead);
		const isLatencySensitive = isLatencySensitiveRoute(call.route, service, tracker.getPrefillRate(candidates.map(({upstream}) => upstream)));
		const candidate = chooseUpstream(candidates, getRequestProfile(entry, isLatencySensitive), context.random);
		if (candidate === undefined) {
			return {kind: 'impossible'};
		}

		const isAdmissible = call.head.prompt === undefined || (candidate.backlog <= backlogLimit && turns.take(candidate, candidates, backlogLimit));
		return isAdmissible ? {kind: 'placed', candidate, isLatencySensitive} : {kind: 'waits', candidate};
	};

	const assign = ({call, enqueuedAt, resolve}: QueueEntry, candidate: Candidate, isLatencySensitive: boolean): void => {
		metrics.record('waiting_duration', clock.monotonic() - enqueuedAt, {route: call.route.name});
		const load = startRequestLoad(context.reportExchange, getUpstreamKey(candidate.upstream), candidate.uncachedTokens, isLatencySensitive ? 1 : 0);
		resolve({candidate, load});
	};

	const countQueuedTokens = (queuedTokens: QueuedTokens, {upstream, uncachedTokens}: Candidate): void => {
		const key = getUpstreamKey(upstream);
		queuedTokens.set(key, (queuedTokens.get(key) ?? 0) + uncachedTokens);
	};

	/** Dispatches the entry or drops an ended one; returns whether it stays queued. */
	const processEntry = (entry: QueueEntry, queuedTokens: QueuedTokens): boolean => {
		if (entry.progress.hasTimedOut || entry.progress.isCallerGone) {
			entry.resolve(undefined);
			return false;
		}

		const decision = decide(entry, queuedTokens);
		switch (decision.kind) {
			case 'placed': {
				assign(entry, decision.candidate, decision.isLatencySensitive);
				return false;
			}

			case 'impossible': {
				entry.resolve(undefined);
				return false;
			}

			case 'waits': {
				countQueuedTokens(queuedTokens, decision.candidate);
				return true;
			}
		}
	};

	/** Reports large changes of queued tokens to the other hosts, and always that none are left. */
	const reportQueuedTokens = (queuedTokens: QueuedTokens): void => {
		for (const key of new Set([...reportedUpstreams, ...queuedTokens.keys()])) {
			const change = (queuedTokens.get(key) ?? 0) - tracker.getReportedQueuedTokens(key);
			if (Math.abs(change) >= minReportedTokenChange || (change !== 0 && !queuedTokens.has(key))) {
				addQueuedTokens(context.reportExchange, key, change);
			}
		}

		reportedUpstreams = new Set(queuedTokens.keys());
	};

	/** Makes a dispatch pass: dispatches what it can in queue order and reports the tokens that stay queued. */
	const dispatch = (): void => {
		nextDispatch = undefined;
		const startedAt = clock.monotonic();
		const queuedTokens: QueuedTokens = new Map();
		entries = entries
			.map(entry => ({entry, order: getQueueOrder(entry)}))
			.toSorted((one, other) => compareQueued(one.order, other.order))
			.map(({entry}) => entry)
			.filter(entry => processEntry(entry, queuedTokens));
		reportQueuedTokens(queuedTokens);
		turns.setWaiting(queuedTokens.keys());
		const endedAt = clock.monotonic();
		earliestDispatch = endedAt + Math.max(minDispatchInterval, (endedAt - startedAt) * dispatchPauseFactor);
		scheduleDispatch(dispatchInterval);
	};

	/** Schedules a dispatch pass within `delay`, or as soon after as the pacing allows. */
	const scheduleDispatch = (delay: Milliseconds): void => {
		const now = clock.monotonic();
		const at = Math.max(earliestDispatch, now + delay);
		const hasWork = entries.length > 0 || reportedUpstreams.size > 0;
		if (!hasWork || (nextDispatch !== undefined && nextDispatch.at <= at)) {
			return;
		}

		nextDispatch?.cancel();
		nextDispatch = {at, cancel: clock.after(at - now, dispatch)};
	};

	const removeEntry = (entry: QueueEntry): void => {
		entries = entries.filter(other => other !== entry);
		entry.resolve(undefined);
		scheduleDispatch(0);
	};

	/** Whether no queued call goes before the entry. */
	const isFirstInOrder = (entry: QueueEntry): boolean => {
		const order = getQueueOrder(entry);
		return entries.every(other => compareQueued(order, getQueueOrder(other)) < 0);
	};

	return {
		async enqueue(call, progress) {
			return new Promise(resolve => {
				const entry = {
					call, progress, enqueuedAt: clock.monotonic(), resolve,
				};
				const isWaiting = !isFirstInOrder(entry) || processEntry(entry, new Map());
				if (isWaiting) {
					progress.cancel = () => {
						removeEntry(entry);
					};

					entries.push(entry);
					scheduleDispatch(dispatchInterval);
				}
			});
		},
		requestDispatch() {
			scheduleDispatch(0);
		},
		getLength: () => entries.length,
	};
};
