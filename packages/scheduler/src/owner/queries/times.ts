import {
	createEstimate, getCautious, getWait,
} from '@gentianlift/policy';
import type {Milliseconds, Rank, Ticket} from '@gentianlift/types';
import {
	type ClassEstimates, type Entry, getSlots, type GroupState,
} from '../state.js';

/** Milliseconds for each output token until it is learned. */
export const assumedDecode: Milliseconds = 20;
const assumedFirstToken: Milliseconds = 200;
const assumedCall: Milliseconds = 200;
/** Samples from which an estimate may refuse a request. */
const leastSamples = 8;
/** Part of its time so far that a run past its estimate is taken to need still. */
const overrunShare = 0.5;

/** Gets the estimates of a ticket's class. */
export const getEstimates = (state: GroupState, ticket: Ticket): ClassEstimates => state.estimates.get(ticket.className) ?? {
	tokens: createEstimate(ticket.expectedTokens),
	firstToken: createEstimate(assumedFirstToken),
	duration: createEstimate(ticket.expectedTokens === 0 ? assumedCall : assumedFirstToken + (ticket.expectedTokens * assumedDecode)),
};

/** Whether the estimates of the ticket's class rest on enough samples to refuse a request. */
export const isLearned = (state: GroupState, ticket: Ticket): boolean => getEstimates(state, ticket).duration.samples >= leastSamples;

/** Gets the time that a ticket holds its slot for. */
export const getExpectedService = (state: GroupState, ticket: Ticket): Milliseconds => getEstimates(state, ticket).duration.mean;

/** Gets the time from the start of the run up to what the target judges: the first token, or a call's whole answer. */
export const getTimeToTarget = (state: GroupState, ticket: Ticket): Milliseconds => {
	const {firstToken, duration} = getEstimates(state, ticket);
	return isService(ticket) ? duration.mean : firstToken.mean;
};

/** Gets a time to target that most runs keep within. */
export const getCautiousTimeToTarget = (state: GroupState, ticket: Ticket): Milliseconds => {
	const {firstToken, duration} = getEstimates(state, ticket);
	return getCautious(isService(ticket) ? duration : firstToken);
};

/** Whether the ticket is for an application service. */
export const isService = (ticket: Ticket): boolean => ticket.needs.some(need => need.startsWith('service:'));

/** Gets the time up to the expected end of a run. */
export const getRemaining = (entry: Entry, now: Milliseconds): Milliseconds => {
	if (entry.state.kind === 'waiting') {
		return 0;
	}

	const elapsed = now - entry.state.startedAt;
	return Math.max(entry.state.expected - elapsed, elapsed * overrunShare);
};

/** Gets the time up to the first free slot of a group. */
export const getNextFree = (state: GroupState): Milliseconds => {
	const now = state.context.clock.monotonic();
	const running = [...state.entries.values()].filter(entry => entry.state.kind === 'running');
	if (running.length < Math.floor(getSlots(state))) {
		return 0;
	}

	return Math.min(...running.map(entry => getRemaining(entry, now))) / Math.max(1, Math.sqrt(running.length));
};

/** Gets the part of the slots that a rank can count on beside the ranks above it: what they leave, or its floor. */
export const getRankShare = (state: GroupState, rank: Rank): number => {
	let above = 0;
	for (const [other, use] of state.use) {
		above += other < rank ? use : 0;
	}

	const floor = state.context.tiers[rank]?.floor ?? 0;
	return Math.min(1, Math.max(floor, 1 - above, Number.EPSILON));
};

/** Gets the expected wait behind the service that is ahead. */
export const getWaitBehind = (state: GroupState, ticket: Ticket, ahead: Milliseconds): Milliseconds => getWait({
	ahead, nextFree: getNextFree(state), slots: getSlots(state), share: getRankShare(state, ticket.rank),
});
