import {
	chooseUpstream, isLatencySensitiveRoute, selectByZone, type Candidate, type EarlyRefusal, type RequestProfile,
} from '@gentianlift/routing';
import type {Milliseconds} from '@gentianlift/types';
import type {ForwarderContext} from '../context.js';
import type {BacklogLimits} from './backlog-limits.js';
import {observeService, type DispatchPass} from './dispatch-pass.js';
import type {DispatchTurns} from './dispatch-turns.js';
import type {EarlyRefusals} from './early-refusals.js';
import type {ObservedService} from './observed-service.js';
import {mayWaitForPermit} from './permit-wait.js';
import type {QueueEntry} from './queue-entry.js';
import type {ZoneDecisions} from './zone-decisions.js';

/** Result of trying to dispatch a queued call; `candidate` of a call that stays queued is the upstream it waits for until it is decided on again. */
export type Decision
	= | {kind: 'placed'; candidate: Candidate; isLatencySensitive: boolean}
		| {kind: 'waits'; candidate: Candidate}
		| {kind: 'waits-for-permit'}
		| {kind: 'refused'; refusal: EarlyRefusal}
		| {kind: 'impossible'};

/** Chooses an upstream for a call, and decides whether the call may go to it now; calls without a prompt are exempt from the backlog limit and take no turns. */
export type Decide = (entry: QueueEntry, pass: DispatchPass) => Decision;

/** What decisions depend on, besides the context. */
export type DecisionParts = {refusals: EarlyRefusals; backlogLimits: BacklogLimits; turns: DispatchTurns; zones: ZoneDecisions};

/** Creates the decisions on the calls of a host. */
export const createDecisions = (context: ForwarderContext, {refusals, backlogLimits, turns, zones}: DecisionParts): Decide => {
	const {view, tracker} = context;

	const getRequestProfile = ({call, dueAt}: QueueEntry, isLatencySensitive: boolean, now: Milliseconds): RequestProfile => ({
		zone: context.zone,
		hasPrompt: call.head.prompt !== undefined,
		isLatencySensitive,
		slack: dueAt - now,
	});

	/** Decides on a call that no upstream may run now: it waits for a permit if one comes in time. */
	const decideOnPermits = ({call, progress, enqueuedAt}: QueueEntry, observed: ObservedService, {now, permitWaiters}: DispatchPass): Decision => {
		const position = (permitWaiters.get(call.service) ?? 0) + 1;
		const mayWait = mayWaitForPermit({
			call, progress, service: observed, position, hasWaited: enqueuedAt < now,
		}, context);
		return mayWait ? {kind: 'waits-for-permit'} : {kind: 'impossible'};
	};

	return (entry, pass) => {
		const {call, progress} = entry;
		const table = view.getRoutes();
		const service = table?.services.get(call.service);
		if (table === undefined || service === undefined) {
			return {kind: 'impossible'};
		}

		const observed = observeService(service, pass, context);
		const tokensAhead = pass.queuedTokens.byUpstream;
		const usable = tracker.getCandidates({
			service: observed,
			rank: call.rank,
			prompt: call.head.prompt,
			tried: progress.tried,
			softwareVersion: progress.streamVersion,
			preferredZone: zones.getPreferredZone(observed),
			tokensAhead,
		});
		const isLatencySensitive = isLatencySensitiveRoute(call.route, service, observed.prefillRate);
		const zoneChoice = zones.choose({
			call, service: observed, candidates: usable, isLatencySensitive,
		});
		const candidates = zoneChoice === undefined ? usable : selectByZone(usable, zoneChoice);
		const profile = {...getRequestProfile(entry, isLatencySensitive, pass.now), transferCost: zoneChoice?.transferCost};
		const candidate = chooseUpstream(candidates, profile, context.random);
		if (candidate === undefined) {
			return decideOnPermits(entry, observed, pass);
		}

		if (call.head.prompt === undefined) {
			return {kind: 'placed', candidate, isLatencySensitive};
		}

		const backlogLimit = backlogLimits.get(table, call);
		if (candidate.backlog <= backlogLimit) {
			// Upstreams admit calls of the highest rank before all that they have got.
			const unreachable = Number.isFinite(backlogLimit)
				? refusals.checkSend({
					call, progress, chosen: candidate, now: pass.now,
				})
				: undefined;
			if (unreachable !== undefined) {
				return {kind: 'refused', refusal: unreachable};
			}

			if (turns.take({
				rank: call.rank, candidate, candidates, backlogLimit, now: pass.now, isNew: entry.enqueuedAt === pass.now,
			})) {
				return {kind: 'placed', candidate, isLatencySensitive};
			}
		}

		const refusal = refusals.check({
			call, progress, chosen: candidate, candidates, backlogLimit, tokensAhead, tokensAheadByRank: pass.queuedTokens.byRank, now: pass.now,
		});
		return refusal === undefined ? {kind: 'waits', candidate} : {kind: 'refused', refusal};
	};
};
