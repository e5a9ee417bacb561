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

/** What a group looks like at one moment, for estimates of many waiting tickets. */
export type Outlook = {
	now: Milliseconds;
	slots: number;
	/** Time up to the first free slot. */
	nextFree: Milliseconds;
	/** Part of the slots that each rank can count on beside the ranks above it: what they leave, or its floor. */
	rankShares: readonly number[];
};

/** Gets the outlook of a group now. */
export const getOutlook = (state: GroupState): Outlook => {
	const now = state.context.clock.monotonic();
	const slots = getSlots(state);
	return {
		now, slots, nextFree: getNextFree(state, slots, now), rankShares: state.context.tiers.map(({floor}, rank) => getRankShare(state, rank, floor)),
	};
};

/** Gets the expected wait behind the service that is ahead. */
export const getWaitBehind = ({slots, nextFree, rankShares}: Outlook, rank: Rank, ahead: Milliseconds): Milliseconds =>
	getWait({
		ahead, nextFree, slots, share: rankShares[rank] ?? 1,
	});

const getNextFree = (state: GroupState, slots: number, now: Milliseconds): Milliseconds => {
	let running = 0;
	let least = Number.POSITIVE_INFINITY;
	for (const entry of state.entries.values()) {
		if (entry.state.kind === 'running') {
			running++;
			least = Math.min(least, getRemaining(entry, now));
		}
	}

	return running < Math.floor(slots) ? 0 : least / Math.max(1, Math.sqrt(running));
};

const getRankShare = (state: GroupState, rank: Rank, floor: number): number => {
	let above = 0;
	for (const [other, use] of state.use) {
		above += other < rank ? use : 0;
	}

	return Math.min(1, Math.max(floor, 1 - above, Number.EPSILON));
};
