import {applySample, applyService, createEstimate} from '@gentianlift/policy';
import type {Milliseconds, TicketEnd} from '@gentianlift/types';
import {assumedDecode, getEstimates, getExpectedService} from '../queries/times.js';
import type {Entry, GroupState} from '../state.js';

/** Longest time of messages that counts, as a multiple of the run. */
export const mostTransit = 1.5;
const mostEnded = 256;
const longestRemembered: Milliseconds = 10_000;

/** Learns service times from a run that ended, and charges its customer for what it used. */
export const learn = (state: GroupState, entry: Entry, end: TicketEnd): void => {
	if (entry.state.kind !== 'running') {
		return;
	}

	const {ticket} = entry;
	const charge = end.duration - getExpectedService(state, ticket);
	applyService(state.shares, ticket.rank, {customer: ticket.customer, weight: ticket.weight, service: charge});
	keepEnded(state, entry, end);
	if (end.kind === 'finished' && ticket.resumed !== true) {
		learnClass(state, entry, end);
	}

	learnSpeed(state, entry, end);
	learnTransit(state, entry, end);
};

const keepEnded = (state: GroupState, entry: Entry, end: TicketEnd): void => {
	if (entry.state.kind !== 'running') {
		return;
	}

	const now = state.context.clock.monotonic();
	const upstream = state.upstreams.get(entry.state.upstream);
	if (upstream !== undefined) {
		upstream.ended.push({
			startedAt: entry.state.startedAt, endedAt: now, fingerprint: entry.ticket.fingerprint, failed: end.kind === 'failed',
		});
		upstream.ended = upstream.ended.filter(run => run.endedAt > now - longestRemembered).slice(-mostEnded);
	}
};

const learnClass = (state: GroupState, {ticket}: Entry, end: TicketEnd): void => {
	const known = getEstimates(state, ticket);
	state.estimates.set(ticket.className, {
		tokens: applySample(known.tokens, end.tokens),
		firstToken: end.firstTokenAfter === undefined ? known.firstToken : applySample(known.firstToken, end.firstTokenAfter),
		duration: applySample(known.duration, end.duration),
	});
};

const learnTransit = (state: GroupState, {state: standing}: Entry, {duration}: TicketEnd): void => {
	const upstream = standing.kind === 'running' ? state.upstreams.get(standing.upstream) : undefined;
	if (upstream !== undefined && standing.kind === 'running' && duration > 0) {
		const ratio = (state.context.clock.monotonic() - standing.startedAt) / duration;
		upstream.transit = applySample(upstream.transit, Math.min(mostTransit, Math.max(1, ratio)));
	}
};

const learnSpeed = (state: GroupState, entry: Entry, end: TicketEnd): void => {
	if (entry.state.kind !== 'running' || end.firstTokenAfter === undefined || end.tokens < 2) {
		return;
	}

	const upstream = state.upstreams.get(entry.state.upstream);
	if (upstream !== undefined) {
		const known = upstream.decode.samples === 0 ? createEstimate(assumedDecode) : upstream.decode;
		upstream.decode = applySample(known, (end.duration - end.firstTokenAfter) / (end.tokens - 1));
	}
};
