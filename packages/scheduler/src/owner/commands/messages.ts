import {getSuspectStatus} from '@gentianlift/policy';
import type {
	GrantRequest, HeldTicket, RequestId, Ticket, TicketEnd,
} from '@gentianlift/types';
import {type TrackedTicket, type GroupState} from '../state.js';
import {
	addDecision, addGrant, addRunningEntry, addWaitingEntry, rememberEndedAttempt, removeEntry, type TicketOrigin,
} from './entries.js';
import {applyCrashOutcome} from './crash.js';
import {updateEstimates} from './update-estimates.js';

/** Applies a batch of a host, and returns the held requests whose tickets are unknown. */
export const applyMessage = (state: GroupState, message: GrantRequest): RequestId[] => {
	const origin: TicketOrigin = {host: message.host, incarnation: message.incarnation, sequence: message.sequence};
	const isNewest = recordSequence(state, origin);
	for (const end of message.ends) {
		applyEnd(state, end);
	}

	// Held tickets come first, so that requests that already run occupy their slots before new tickets are granted any.
	const unknownRequests = message.held !== undefined && isNewest ? reconcileHeldTickets(state, message.held, origin) : [];
	for (const ticket of message.asks) {
		applyAsk(state, ticket, origin);
	}

	return unknownRequests.filter(request => !message.asks.some(ticket => ticket.request === request));
};

/**
 * Records the sequence number of a message; returns false if the host has sent a newer one. The larger incarnation counts
 * as the newer. If the wall clock stepped back before a restart, the host's incarnation is smaller than the known one; its
 * messages then don't count as newest, so that the tickets that they list as held are not reconciled.
 */
const recordSequence = (state: GroupState, {host, incarnation, sequence}: TicketOrigin): boolean => {
	const known = state.latestSequences.get(host);
	const isNewest = known === undefined || incarnation > known.incarnation || (incarnation === known.incarnation && sequence > known.sequence);
	if (isNewest) {
		state.latestSequences.set(host, {incarnation, sequence});
	}

	return isNewest;
};

/** Adds a ticket that requests a slot. A repeated one gets its grant again; one of an attempt that has ended has no effect. */
const applyAsk = (state: GroupState, ticket: Ticket, origin: TicketOrigin): void => {
	const lastEndedAttempt = state.endedAttempts.get(ticket.request)?.attempt ?? 0;
	if (ticket.attempt <= lastEndedAttempt) {
		return;
	}

	const known = state.entries.get(ticket.request);
	if (known !== undefined && known.ticket.attempt >= ticket.attempt) {
		refreshEntry(state, known);
		addGrant(state, known);
		return;
	}

	if (known !== undefined) {
		removeEntry(state, known);
	}

	const {suspects, clock} = state.context;
	if (getSuspectStatus(suspects, ticket.fingerprint, clock.now()) === 'guilty') {
		shedCrashingTicket(state, ticket, origin);
		return;
	}

	addWaitingEntry(state, ticket, origin);
};

const shedCrashingTicket = (state: GroupState, {request, attempt, rank}: Ticket, {host}: TicketOrigin): void => {
	const reason = 'crashes-upstreams';
	rememberEndedAttempt(state, request, attempt);
	addDecision(state, host, {
		kind: 'shed', request, attempt, reason, retryAfter: 0,
	});
	state.context.metrics.count('sheds', {reason, rank: String(rank)});
};

const applyEnd = (state: GroupState, end: TicketEnd): void => {
	rememberEndedAttempt(state, end.request, end.attempt);
	const entry = state.entries.get(end.request);
	if (entry === undefined || entry.ticket.attempt > end.attempt) {
		return;
	}

	updateEstimates(state, entry, end);
	applyCrashOutcome(state, entry, end);
	removeEntry(state, entry);
};

/** Repairs the effects of lost messages: removes the entries that the host no longer holds, and adds those that are unknown. */
const reconcileHeldTickets = (state: GroupState, held: readonly HeldTicket[], origin: TicketOrigin): RequestId[] => {
	const byRequest = new Map(held.map(item => [item.request, item]));
	for (const entry of state.entries.values()) {
		const isNoLongerHeld = byRequest.get(entry.ticket.request)?.attempt !== entry.ticket.attempt;
		// The message is the host's newest, so no entry of the host has a larger incarnation.
		const isOlderThanMessage = entry.incarnation < origin.incarnation || entry.askSequence < origin.sequence;
		if (entry.host === origin.host && isNoLongerHeld && isOlderThanMessage) {
			removeEntry(state, entry);
		}
	}

	const running = held.filter(({upstream}) => upstream !== undefined);
	const waiting = held.filter(({upstream}) => upstream === undefined);
	return [...running, ...waiting].filter(item => !reconcileHeldTicket(state, item, origin)).map(({request}) => request);
};

const reconcileHeldTicket = (state: GroupState, {request, attempt, upstream, ticket}: HeldTicket, origin: TicketOrigin): boolean => {
	const known = state.entries.get(request);
	if (known?.ticket.attempt === attempt) {
		refreshEntry(state, known);
		return known.state.kind === 'waiting' && upstream !== undefined ? replaceWithRunning(state, known, origin, upstream) : repeatGrant(state, known, upstream);
	}

	if (attempt <= (state.endedAttempts.get(request)?.attempt ?? 0)) {
		return true;
	}

	if (ticket === undefined) {
		return false;
	}

	if (upstream === undefined) {
		applyAsk(state, ticket, origin);
	} else {
		addRunningEntry(state, ticket, origin, upstream);
	}

	return true;
};

/** Replaces a waiting entry by a running one, since another owner granted it. */
const replaceWithRunning = (state: GroupState, known: TrackedTicket, origin: TicketOrigin, upstream: string): true => {
	removeEntry(state, known);
	addRunningEntry(state, known.ticket, origin, upstream);
	return true;
};

/** Sends the grant again if the host still reports the request as waiting, which means that the first message was lost. */
const repeatGrant = (state: GroupState, known: TrackedTicket, upstream: string | undefined): true => {
	if (upstream === undefined) {
		addGrant(state, known);
	}

	return true;
};

const refreshEntry = (state: GroupState, entry: TrackedTicket): void => {
	entry.refreshedAt = state.context.clock.monotonic();
};
