import type {Milliseconds, ShedReason} from '@gentianlift/types';
import {getCandidates} from '../queries/candidates.js';
import {
	getCautiousTimeToTarget, getExpectedService, getTimeToTarget, getWaitBehind, isLearned,
} from '../queries/times.js';
import {getInOrder, getWaitAfter} from '../queries/waits.js';
import type {Entry, GroupState} from '../state.js';
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
	const waiting = getInOrder(state);
	if (waiting.length === 0) {
		return;
	}

	const hasAdmission = !state.context.without.has('admission');
	for (const entry of waiting) {
		const reason = getPlainReason(state, entry, hasAdmission);
		if (reason !== undefined) {
			shed(state, entry, reason, getRetryTime(state, entry, getWaitAfter(state, entry, waiting)));
		}
	}

	if (hasAdmission) {
		shedUnreachable(state);
	}
};

/** Refuses the last of the lowest rank while more wait than the queue holds. */
export const shedExcess = (state: GroupState): void => {
	const waiting = getInOrder(state);
	const excess = waiting.toSorted((first, second) => first.ticket.rank - second.ticket.rank).slice(mostWaiting);
	for (const entry of excess) {
		shed(state, entry, 'queue-full', getRetryTime(state, entry, getWaitAfter(state, entry, waiting)));
	}
};

/**
 * Refuses, on the estimate alone, waiting entries of the lowest rank that waits: their wait is expected to
 * outlast their target. A higher rank is never refused this way while a lower one waits.
 */
const shedUnreachable = (state: GroupState): void => {
	const waiting = getInOrder(state);
	const lowest = Math.max(...waiting.map(({ticket}) => ticket.rank));
	const now = state.context.clock.monotonic();
	let ahead = 0;
	let outranked = false;
	for (const entry of waiting) {
		const {ticket} = entry;
		const wait = getWaitBehind(state, ticket, ahead);
		const slack = entry.deadline - now - getCautiousTimeToTarget(state, ticket);
		const isLate = ticket.rank === lowest && ticket.resumed !== true && isLearned(state, ticket) && wait > slack * admissionMargin;
		if (isLate) {
			shed(state, entry, outranked ? 'outranked' : 'deadline-unreachable', getRetryTime(state, entry, wait));
		} else {
			ahead += getExpectedService(state, ticket);
			outranked ||= ticket.rank < lowest;
		}
	}
};

const getPlainReason = (state: GroupState, entry: Entry, hasAdmission: boolean): ShedReason | undefined => {
	const now = state.context.clock.monotonic();
	if (now - entry.since > longestWait) {
		return 'queue-age';
	}

	if (now - entry.since > upstreamGrace && !hasUpstream(state, entry)) {
		return 'no-upstream';
	}

	const least = isLearned(state, entry.ticket) ? getTimeToTarget(state, entry.ticket) : 0;
	const isLate = entry.deadline - now < least;
	return hasAdmission && isLate && entry.ticket.resumed !== true ? 'deadline-unreachable' : undefined;
};

const hasUpstream = (state: GroupState, {ticket}: Entry): boolean => getCandidates(state).some(candidate =>
	candidate.available && ticket.needs.every(need => candidate.upstream.holds.has(need)) && !ticket.avoid.includes(candidate.upstream.id));

/** Gets the time after which the same request, sent anew, is expected to meet its target. */
const getRetryTime = (state: GroupState, entry: Entry, wait: Milliseconds): Milliseconds => {
	const allowance = entry.deadline - entry.since;
	return Math.max(leastRetryAfter, wait + getCautiousTimeToTarget(state, entry.ticket) - allowance);
};
