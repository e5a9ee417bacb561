import {type Candidate, hasNeeds} from '@gentianlift/policy';
import type {Milliseconds, ShedReason, Ticket} from '@gentianlift/types';
import {getCandidates} from '../queries/candidates.js';
import {
	getCautiousTimeToTarget, getExpectedService, getOutlook, getTimeToTarget, getWaitBehind, isLearned,
} from '../queries/times.js';
import {getInOrder, getWaits} from '../queries/waits.js';
import {type Entry, getWaiting, type GroupState} from '../state.js';
import {shed} from './entries.js';

/** Most waiting tickets of a group. */
export const mostWaiting = 512;
/** Longest wait of any ticket. */
export const longestWait: Milliseconds = 900_000;
/** How long a ticket waits for an upstream to come back before it is refused. */
const upstreamGrace: Milliseconds = 2000;
const leastRetryAfter: Milliseconds = 1000;
/** Part of the time left that the expected wait may take. */
const admissionMargin = 0.85;

/** Refuses the waiting entries that can't be served in time. */
export const shedLate = (state: GroupState): void => {
	const inOrder = getInOrder(state);
	if (inOrder.length === 0) {
		return;
	}

	const candidates = getCandidates(state);
	const waits = getWaits(state, inOrder);
	for (const entry of inOrder) {
		const reason = getPlainReason(state, entry, candidates);
		if (reason !== undefined) {
			shed(state, entry, reason, getRetryTime(state, entry, waits.get(entry) ?? 0));
		}
	}

	// A host on its share of the slots knows too little of the rest to refuse by estimate.
	if (!state.context.without.has('admission') && state.slotShare === 1) {
		shedUnreachable(state, inOrder.filter(({ticket}) => state.entries.has(ticket.request)));
	}
};

/** Refuses the last of the lowest rank while more wait than the queue holds. */
export const shedExcess = (state: GroupState): void => {
	const waiting = getWaiting(state);
	if (waiting.length <= mostWaiting) {
		return;
	}

	const inOrder = getInOrder(state);
	const waits = getWaits(state, inOrder);
	const excess = inOrder.toSorted((first, second) => first.ticket.rank - second.ticket.rank).slice(mostWaiting);
	for (const entry of excess.toReversed()) {
		shed(state, entry, 'queue-full', getRetryTime(state, entry, waits.get(entry) ?? 0));
	}
};

/**
 * Refuses, on the estimate alone, waiting entries of the lowest rank that waits: their wait is expected to
 * outlast their target. A higher rank is never refused this way while a lower one waits.
 */
const shedUnreachable = (state: GroupState, inOrder: readonly Entry[]): void => {
	const lowest = Math.max(...inOrder.map(({ticket}) => ticket.rank));
	const outlook = getOutlook(state);
	let ahead = 0;
	for (const entry of inOrder) {
		const wait = getWaitBehind(outlook, entry.ticket.rank, ahead);
		if (entry.ticket.rank === lowest && isUnreachable(state, entry, wait)) {
			const isOutranked = inOrder[0] !== undefined && inOrder[0].ticket.rank < lowest;
			shed(state, entry, isOutranked ? 'outranked' : 'deadline-unreachable', getRetryTime(state, entry, wait));
		} else {
			ahead += getExpectedService(state, entry.ticket);
		}
	}
};

const isUnreachable = (state: GroupState, {ticket, deadline}: Entry, wait: Milliseconds): boolean => {
	const slack = deadline - state.context.clock.monotonic() - getCautiousTimeToTarget(state, ticket);
	return ticket.resumed !== true && isLearned(state, ticket) && wait > slack * admissionMargin;
};

const getPlainReason = (state: GroupState, entry: Entry, candidates: readonly Candidate[]): ShedReason | undefined => {
	const {ticket, since, deadline} = entry;
	const now = state.context.clock.monotonic();
	if (now - since > longestWait) {
		return 'queue-age';
	}

	if (now - since > upstreamGrace && !candidates.some(candidate => mayServe(candidate, ticket))) {
		return 'no-upstream';
	}

	const least = isLearned(state, ticket) ? getTimeToTarget(state, ticket) : 0;
	const isLate = !state.context.without.has('admission') && ticket.resumed !== true && deadline - now < least;
	return isLate ? 'deadline-unreachable' : undefined;
};

const mayServe = ({available, upstream}: Candidate, ticket: Ticket): boolean =>
	available && hasNeeds(upstream, ticket.needs) && !ticket.avoid.includes(upstream.id);

/** Gets the time after which the same request, sent anew, is expected to meet its target. */
const getRetryTime = (state: GroupState, entry: Entry, wait: Milliseconds): Milliseconds => {
	const allowance = entry.deadline - entry.since;
	return Math.max(leastRetryAfter, wait + getCautiousTimeToTarget(state, entry.ticket) - allowance);
};
