import {type Candidate, canProvide} from '@gentianlift/policy';
import type {Milliseconds, ShedReason, Ticket} from '@gentianlift/types';
import {getCandidates} from '../queries/candidates.js';
import {
	getCapacityForecast, getConservativeTimeToTarget, getExpectedServiceTime, getTicketWait, getTimeToTarget, hasEnoughSamples,
} from '../queries/forecast.js';
import {getExpectedWaits, getGrantOrder} from '../queries/grant-order.js';
import {type TrackedTicket, getWaitingEntries, type GroupState} from '../state.js';
import {shed} from './entries.js';

/** Maximum number of waiting tickets of a group. */
export const maxWaitingTickets = 512;
/** Maximum time that a ticket waits. */
export const maxQueueTime: Milliseconds = 900_000;
/** How long a ticket waits for an upstream to become available before it is shed. */
const upstreamGracePeriod: Milliseconds = 2000;
/** Minimum delay after which the caller of a shed request may send it again. */
const minRetryAfter: Milliseconds = 1000;
/** Fraction of a ticket's slack that its expected wait may take up. */
const admissionSlackFraction = 0.85;

/** Sheds the waiting entries that can't be served at all or not in time. */
export const shedUnservable = (state: GroupState): void => {
	const inOrder = getGrantOrder(state);
	if (inOrder.length === 0) {
		return;
	}

	const candidates = getCandidates(state);
	const waits = getExpectedWaits(state, inOrder);
	for (const entry of inOrder) {
		const reason = getUnservableReason(state, entry, candidates);
		if (reason !== undefined) {
			shed(state, entry, reason, getRetryAfter(state, entry, waits.get(entry) ?? 0));
		}
	}

	// In degraded mode the owner doesn't know the load from other hosts, so its expected waits are too uncertain to shed requests by them.
	if (!state.context.disabledMechanisms.has('admission') && state.ownerSlotFraction === 1) {
		shedByExpectedWait(state, inOrder.filter(({ticket}) => state.entries.has(ticket.request)));
	}
};

/** Sheds the entries above the maximum queue length: those of the lowest tiers, which have the largest ranks, and of a tier the last in order. */
export const shedExcess = (state: GroupState): void => {
	const waiting = getWaitingEntries(state);
	if (waiting.length <= maxWaitingTickets) {
		return;
	}

	const inOrder = getGrantOrder(state);
	const waits = getExpectedWaits(state, inOrder);
	const excess = inOrder.toSorted((first, second) => first.ticket.rank - second.ticket.rank).slice(maxWaitingTickets);
	for (const entry of excess.toReversed()) {
		shed(state, entry, 'queue-full', getRetryAfter(state, entry, waits.get(entry) ?? 0));
	}
};

/**
 * Sheds entries whose expected wait makes them miss their target. As the wait is only an estimate, this applies
 * to the lowest tier that waits: a request is never shed for its estimated wait while one of a lower tier waits.
 */
const shedByExpectedWait = (state: GroupState, inOrder: readonly TrackedTicket[]): void => {
	// A larger rank has lower priority.
	const lowestRank = Math.max(...inOrder.map(({ticket}) => ticket.rank));
	const forecast = getCapacityForecast(state);
	let serviceAhead = 0;
	for (const entry of inOrder) {
		const wait = getTicketWait(forecast, entry.ticket.rank, serviceAhead);
		if (entry.ticket.rank === lowestRank && isTargetUnreachable(state, entry, wait)) {
			const isOutranked = inOrder[0] !== undefined && inOrder[0].ticket.rank < lowestRank;
			shed(state, entry, isOutranked ? 'outranked' : 'deadline-unreachable', getRetryAfter(state, entry, wait));
		} else {
			serviceAhead += getExpectedServiceTime(state, entry.ticket);
		}
	}
};

const isTargetUnreachable = (state: GroupState, {ticket, deadline}: TrackedTicket, wait: Milliseconds): boolean => {
	const slack = deadline - state.context.clock.monotonic() - getConservativeTimeToTarget(state, ticket);
	return ticket.resumed !== true && hasEnoughSamples(state, ticket) && wait > slack * admissionSlackFraction;
};

/**
 * Returns why an entry of any tier is to be shed, whatever its place in the order: it has waited too long, no upstream
 * can serve it, or the estimated time to target alone exceeds the remaining slack.
 */
const getUnservableReason = (state: GroupState, entry: TrackedTicket, candidates: readonly Candidate[]): ShedReason | undefined => {
	const {ticket, since, deadline} = entry;
	const now = state.context.clock.monotonic();
	if (now - since > maxQueueTime) {
		return 'queue-age';
	}

	if (now - since > upstreamGracePeriod && !candidates.some(candidate => canServe(candidate, ticket))) {
		return 'no-upstream';
	}

	const minTimeToTarget = hasEnoughSamples(state, ticket) ? getTimeToTarget(state, ticket) : 0;
	const isLate = !state.context.disabledMechanisms.has('admission') && ticket.resumed !== true && deadline - now < minTimeToTarget;
	return isLate ? 'deadline-unreachable' : undefined;
};

const canServe = ({acceptsRequests, upstream}: Candidate, ticket: Ticket): boolean =>
	acceptsRequests && canProvide(upstream, ticket.needs) && !ticket.avoid.includes(upstream.id);

/** Returns the time after which the same request, sent again, is expected to meet its target. */
const getRetryAfter = (state: GroupState, entry: TrackedTicket, wait: Milliseconds): Milliseconds => {
	const allowance = entry.deadline - entry.since;
	return Math.max(minRetryAfter, wait + getConservativeTimeToTarget(state, entry.ticket) - allowance);
};
