import {type Candidate, canProvide} from '@gentianlift/policy';
import type {Milliseconds, Rank} from '@gentianlift/types';
import {getCandidates, hasFreeSlot} from '../queries/candidates.js';
import {
	getEstimates, getRemainingTime, getTimeToTarget, isServiceCall,
} from '../queries/forecast.js';
import {getGrantOrder} from '../queries/grant-order.js';
import {type TrackedTicket, getUsableSlots, type GroupState} from '../state.js';
import {addDecision} from './entries.js';

/** Maximum number of preemptions of one request; its ticket carries their number as `yields`. */
export const maxPreemptions = 2;
/** Waiting entries that are checked in one pass. */
const maxEntriesPerPass = 32;
/** A run is preempted only if its remaining time is more than this many times the cost of restarting it. */
const restartFactor = 2;

/** Preempts runs of lower tiers in favour of waiting entries that would otherwise miss their targets. */
export const preempt = (state: GroupState): void => {
	if (state.context.disabledMechanisms.has('preemption')) {
		return;
	}

	const inOrder = getGrantOrder(state).slice(0, maxEntriesPerPass);
	const candidates = inOrder.length === 0 ? [] : getCandidates(state);
	const now = state.context.clock.monotonic();
	// The slots of runs that have been asked to yield, but still hold them, go to the first entries in order.
	let pendingPreemptions = [...state.entries.values()].filter(entry => entry.state.kind === 'running' && entry.state.isBeingPreempted).length;
	for (const [position, entry] of inOrder.entries()) {
		if (pendingPreemptions > 0) {
			pendingPreemptions--;
		} else if (isTargetAtRisk(state, entry, candidates, position)) {
			preemptFor(state, entry, now);
		}
	}
};

const preemptFor = (state: GroupState, entry: TrackedTicket, now: Milliseconds): void => {
	const victim = getVictim(state, entry, now);
	if (victim?.state.kind !== 'running') {
		return;
	}

	victim.state.isBeingPreempted = true;
	// The `yield` decision tells the host to preempt the run.
	addDecision(state, victim.host, {kind: 'yield', request: victim.ticket.request, attempt: victim.ticket.attempt});
	state.context.metrics.count('yields', {rank: String(victim.ticket.rank)});
};

/** Whether the entry is expected to miss its target if it waits until its position in the order gets a slot. */
const isTargetAtRisk = (state: GroupState, entry: TrackedTicket, candidates: readonly Candidate[], position: number): boolean => {
	if (hasFreeSlot(state, candidates, entry.ticket)) {
		return false;
	}

	const now = state.context.clock.monotonic();
	const remainingTimes = getCompetingRuns(state, entry).map(running => getRemainingTime(running, now)).toSorted((first, second) => first - second);
	const timeToSlot = remainingTimes[position] ?? remainingTimes.at(-1) ?? 0;
	return entry.deadline - now - getTimeToTarget(state, entry.ticket) < timeToSlot;
};

/** Returns the run whose preemption costs least: of the lowest tier, the one with the longest remaining time. */
const getVictim = (state: GroupState, entry: TrackedTicket, now: Milliseconds): TrackedTicket | undefined => {
	const counts = getRunningCounts(state);
	// A larger rank has lower priority.
	const victims = getCompetingRuns(state, entry).filter(running =>
		running.ticket.rank > entry.ticket.rank && isPreemptible(state, running, counts) && isWorthPreempting(state, running, now));
	return victims.toSorted((first, second) =>
		second.ticket.rank - first.ticket.rank || getRemainingTime(second, now) - getRemainingTime(first, now))[0];
};

/** Returns the runs on upstreams that could serve the entry. */
const getCompetingRuns = (state: GroupState, {ticket}: TrackedTicket): TrackedTicket[] => [...state.upstreams.values()]
	.filter(({upstream, availability}) => availability === 'available' && canProvide(upstream, ticket.needs) && !ticket.avoid.includes(upstream.id))
	.flatMap(({running}) => [...running]);

/** Whether a run may be preempted: it is idempotent and no service call, its tier uses more slots than its floor, and it has been preempted fewer than `maxPreemptions` times. */
const isPreemptible = (state: GroupState, {ticket, state: entryState}: TrackedTicket, counts: ReadonlyMap<Rank, number>): boolean => {
	const floor = Math.ceil((state.context.tiers[ticket.rank]?.floor ?? 0) * getUsableSlots(state));
	const isAboveFloor = state.context.disabledMechanisms.has('floor') || (counts.get(ticket.rank) ?? 0) > floor;
	const isBeingPreempted = entryState.kind === 'running' && entryState.isBeingPreempted;
	return !isBeingPreempted && isAboveFloor && ticket.idempotent && !isServiceCall(ticket) && (ticket.yields ?? 0) < maxPreemptions;
};

const isWorthPreempting = (state: GroupState, entry: TrackedTicket, now: Milliseconds): boolean =>
	getRemainingTime(entry, now) > restartFactor * getEstimates(state, entry.ticket).timeToFirstToken.mean;

/** Returns the number of runs by rank, without those that are already being preempted. */
const getRunningCounts = (state: GroupState): Map<Rank, number> => {
	const counts = new Map<Rank, number>();
	for (const {ticket, state: entryState} of state.entries.values()) {
		if (entryState.kind === 'running' && !entryState.isBeingPreempted) {
			counts.set(ticket.rank, (counts.get(ticket.rank) ?? 0) + 1);
		}
	}

	return counts;
};
