import {
	createEstimate, getUpperEstimate, getExpectedWait,
} from '@gentianlift/policy';
import type {Milliseconds, Rank, Ticket} from '@gentianlift/types';
import {
	type ClassEstimates, type TrackedTicket, getUsableSlots, type GroupState,
} from '../state.js';

/** Time per output token that is assumed until samples exist. */
export const defaultTimePerOutputToken: Milliseconds = 20;
/** Time to first token that is assumed until samples exist. */
const defaultTimeToFirstToken: Milliseconds = 200;
/** Duration of a call of an application service that is assumed until samples exist. */
const defaultCallDuration: Milliseconds = 200;
/** Minimum number of samples before a request may be shed on an estimate. */
const minSamples = 8;
/** Remaining time that is assumed for a run past its expected end, as a fraction of its time so far. */
const overrunFraction = 0.5;

/** Returns the estimates of a ticket's class. */
export const getEstimates = (state: GroupState, ticket: Ticket): ClassEstimates => state.estimates.get(ticket.className) ?? {
	outputTokens: createEstimate(ticket.expectedTokens),
	timeToFirstToken: createEstimate(defaultTimeToFirstToken),
	duration: createEstimate(ticket.expectedTokens === 0 ? defaultCallDuration : defaultTimeToFirstToken + (ticket.expectedTokens * defaultTimePerOutputToken)),
};

/** Whether the estimates of the ticket's class have enough samples to shed a request on them. */
export const hasEnoughSamples = (state: GroupState, ticket: Ticket): boolean => getEstimates(state, ticket).duration.samples >= minSamples;

/** Returns the time for which a ticket is expected to hold its slot. */
export const getExpectedServiceTime = (state: GroupState, ticket: Ticket): Milliseconds => getEstimates(state, ticket).duration.mean;

/** Returns the expected time from the start of a run to the event that its target is about: the first token, or the whole answer of a service call. */
export const getTimeToTarget = (state: GroupState, ticket: Ticket): Milliseconds => {
	const {timeToFirstToken, duration} = getEstimates(state, ticket);
	return isServiceCall(ticket) ? duration.mean : timeToFirstToken.mean;
};

/** Returns a time to target that most runs don't exceed. */
export const getConservativeTimeToTarget = (state: GroupState, ticket: Ticket): Milliseconds => {
	const {timeToFirstToken, duration} = getEstimates(state, ticket);
	return getUpperEstimate(isServiceCall(ticket) ? duration : timeToFirstToken);
};

/** Whether the ticket is for an application service. */
export const isServiceCall = (ticket: Ticket): boolean => ticket.needs.some(need => need.startsWith('service:'));

/** Returns the time until the expected end of a run; 0 for a waiting entry. */
export const getRemainingTime = (entry: TrackedTicket, now: Milliseconds): Milliseconds => {
	if (entry.state.kind === 'waiting') {
		return 0;
	}

	const elapsed = now - entry.state.startedAt;
	return Math.max(entry.state.expectedDuration - elapsed, elapsed * overrunFraction);
};

/** Capacity that a group is expected to have, computed once to estimate the waits of many tickets. */
export type CapacityForecast = {
	now: Milliseconds;
	slots: number;
	/** Expected time until the first slot is free. */
	timeToFreeSlot: Milliseconds;
	/** Fraction of the slots that each tier, by rank, can rely on: what higher tiers leave over, or its floor if that is more. */
	rankFractions: readonly number[];
};

/** Returns the capacity forecast of a group as of now. */
export const getCapacityForecast = (state: GroupState): CapacityForecast => {
	const now = state.context.clock.monotonic();
	const slots = getUsableSlots(state);
	return {
		now, slots, timeToFreeSlot: getTimeToFreeSlot(state, slots, now), rankFractions: state.context.tiers.map(({floor}, rank) => getRankFraction(state, rank, floor)),
	};
};

/** Returns the expected wait of a ticket with the given service time queued ahead of it. */
export const getTicketWait = ({slots, timeToFreeSlot, rankFractions}: CapacityForecast, rank: Rank, ahead: Milliseconds): Milliseconds =>
	getExpectedWait({
		ahead, timeToFreeSlot, slots, tierSlotFraction: rankFractions[rank] ?? 1,
	});

/**
 * Returns 0 while fewer requests run than there are slots. Otherwise returns the shortest expected remaining time of a run,
 * divided by the square root of the number of runs, so that more runs give a shorter time.
 */
const getTimeToFreeSlot = (state: GroupState, slots: number, now: Milliseconds): Milliseconds => {
	let running = 0;
	let minRemaining = Number.POSITIVE_INFINITY;
	for (const entry of state.entries.values()) {
		if (entry.state.kind === 'running') {
			running++;
			minRemaining = Math.min(minRemaining, getRemainingTime(entry, now));
		}
	}

	return running < Math.floor(slots) ? 0 : minRemaining / Math.max(1, Math.sqrt(running));
};

/** Returns the fraction of the slots that a tier can rely on; `Number.EPSILON` keeps it above 0, as `QueueState` requires. */
const getRankFraction = (state: GroupState, rank: Rank, floor: number): number => {
	let usedAbove = 0;
	for (const [other, use] of state.rankUtilization) {
		// A smaller rank has higher priority.
		usedAbove += other < rank ? use : 0;
	}

	return Math.min(1, Math.max(floor, 1 - usedAbove, Number.EPSILON));
};
