import {addSample, chargeService, createEstimate} from '@gentianlift/policy';
import type {Milliseconds, TicketEnd} from '@gentianlift/types';
import {defaultTimePerOutputToken, getEstimates, getExpectedServiceTime} from '../queries/forecast.js';
import type {TrackedTicket, GroupState} from '../state.js';

/** Upper bound of a sample of `slotHoldRatio`. */
export const maxSlotHoldRatio = 1.5;
/** Maximum number of recent runs that are kept for each upstream. */
const maxRecentRuns = 256;
/** How long a run counts as recent. */
const recentRunExpiry: Milliseconds = 10_000;

/** Updates the estimates from a run that ended, and charges its customer the difference between actual and expected service. */
export const updateEstimates = (state: GroupState, entry: TrackedTicket, end: TicketEnd): void => {
	if (entry.state.kind !== 'running') {
		return;
	}

	const {ticket} = entry;
	const unaccountedService = end.duration - getExpectedServiceTime(state, ticket);
	chargeService(state.fairShares, ticket.rank, {customer: ticket.customer, weight: ticket.weight, service: unaccountedService});
	recordRecentRun(state, entry, end);
	if (end.kind === 'finished' && ticket.resumed !== true) {
		updateClassEstimates(state, entry, end);
	}

	updateTimePerOutputToken(state, entry, end);
	updateSlotHoldRatio(state, entry, end);
};

const recordRecentRun = (state: GroupState, entry: TrackedTicket, end: TicketEnd): void => {
	if (entry.state.kind !== 'running') {
		return;
	}

	const now = state.context.clock.monotonic();
	const upstream = state.upstreams.get(entry.state.upstream);
	if (upstream !== undefined) {
		upstream.recentRuns.push({
			startedAt: entry.state.startedAt, endedAt: now, fingerprint: entry.ticket.fingerprint, failed: end.kind === 'failed',
		});
		upstream.recentRuns = upstream.recentRuns.filter(run => run.endedAt > now - recentRunExpiry).slice(-maxRecentRuns);
	}
};

const updateClassEstimates = (state: GroupState, {ticket}: TrackedTicket, end: TicketEnd): void => {
	const known = getEstimates(state, ticket);
	state.estimates.set(ticket.className, {
		outputTokens: addSample(known.outputTokens, end.tokens),
		timeToFirstToken: end.firstTokenAfter === undefined ? known.timeToFirstToken : addSample(known.timeToFirstToken, end.firstTokenAfter),
		duration: addSample(known.duration, end.duration),
	});
};

const updateSlotHoldRatio = (state: GroupState, {state: entryState}: TrackedTicket, {duration}: TicketEnd): void => {
	const upstream = entryState.kind === 'running' ? state.upstreams.get(entryState.upstream) : undefined;
	if (upstream !== undefined && entryState.kind === 'running' && duration > 0) {
		const ratio = (state.context.clock.monotonic() - entryState.startedAt) / duration;
		upstream.slotHoldRatio = addSample(upstream.slotHoldRatio, Math.min(maxSlotHoldRatio, Math.max(1, ratio)));
	}
};

const updateTimePerOutputToken = (state: GroupState, entry: TrackedTicket, end: TicketEnd): void => {
	if (entry.state.kind !== 'running' || end.firstTokenAfter === undefined || end.tokens < 2) {
		return;
	}

	const upstream = state.upstreams.get(entry.state.upstream);
	if (upstream !== undefined) {
		const known = upstream.timePerOutputToken.samples === 0 ? createEstimate(defaultTimePerOutputToken) : upstream.timePerOutputToken;
		upstream.timePerOutputToken = addSample(known, (end.duration - end.firstTokenAfter) / (end.tokens - 1));
	}
};
