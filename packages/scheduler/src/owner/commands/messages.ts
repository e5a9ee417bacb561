import {getSuspectStanding} from '@gentianlift/policy';
import type {
	GrantRequest, HeldTicket, RequestId, Ticket, TicketEnd,
} from '@gentianlift/types';
import {type Entry, type GroupState} from '../state.js';
import {
	addRunning, addWaiting, markEnded, type Origin, removeEntry, send, sendGrant,
} from './entries.js';
import {applyCrashOf} from './crash.js';
import {learn} from './learn.js';

/** Applies a batch of a host; returns held requests whose tickets aren't known. */
export const applyMessage = (state: GroupState, message: GrantRequest): RequestId[] => {
	const origin: Origin = {host: message.host, incarnation: message.incarnation, sequence: message.sequence};
	const isNewest = applySequence(state, origin);
	for (const end of message.ends) {
		applyEnd(state, end);
	}

	// What runs already takes its slots before new tickets can be granted them.
	const unknown = message.held !== undefined && isNewest ? applyHeld(state, message.held, origin) : [];
	for (const ticket of message.asks) {
		applyAsk(state, ticket, origin);
	}

	return unknown.filter(request => !message.asks.some(ticket => ticket.request === request));
};

const applySequence = (state: GroupState, {host, incarnation, sequence}: Origin): boolean => {
	const known = state.sequences.get(host);
	const isNewest = known === undefined || incarnation > known.incarnation || (incarnation === known.incarnation && sequence > known.sequence);
	if (isNewest) {
		state.sequences.set(host, {incarnation, sequence});
	}

	return isNewest;
};

/** Applies an ask; a repeated one gets the decision again, a late one has no effect. */
const applyAsk = (state: GroupState, ticket: Ticket, origin: Origin): void => {
	const ended = state.ended.get(ticket.request)?.attempt ?? 0;
	if (ticket.attempt <= ended) {
		return;
	}

	const known = state.entries.get(ticket.request);
	if (known !== undefined && known.ticket.attempt >= ticket.attempt) {
		refresh(state, known);
		sendGrant(state, known);
		return;
	}

	if (known !== undefined) {
		removeEntry(state, known);
	}

	const {suspects, clock} = state.context;
	if (getSuspectStanding(suspects, ticket.fingerprint, clock.now()) === 'guilty') {
		refuseGuilty(state, ticket, origin);
		return;
	}

	addWaiting(state, ticket, origin);
};

const refuseGuilty = (state: GroupState, {request, attempt, rank}: Ticket, {host}: Origin): void => {
	const reason = 'crashes-upstreams';
	markEnded(state, request, attempt);
	send(state, host, {
		kind: 'shed', request, attempt, reason, retryAfter: 0,
	});
	state.context.metrics.count('sheds', {reason, rank: String(rank)});
};

const applyEnd = (state: GroupState, end: TicketEnd): void => {
	markEnded(state, end.request, end.attempt);
	const entry = state.entries.get(end.request);
	if (entry === undefined || entry.ticket.attempt > end.attempt) {
		return;
	}

	learn(state, entry, end);
	applyCrashOf(state, entry, end);
	removeEntry(state, entry);
};

/** Heals what lost messages left behind: forgets what the host no longer holds, and takes in what isn't known. */
const applyHeld = (state: GroupState, held: readonly HeldTicket[], origin: Origin): RequestId[] => {
	const byRequest = new Map(held.map(item => [item.request, item]));
	for (const entry of state.entries.values()) {
		const isGone = byRequest.get(entry.ticket.request)?.attempt !== entry.ticket.attempt;
		const isEarlier = entry.incarnation < origin.incarnation || entry.askedIn < origin.sequence;
		if (entry.host === origin.host && isGone && isEarlier) {
			removeEntry(state, entry);
		}
	}

	const running = held.filter(({upstream}) => upstream !== undefined);
	const waiting = held.filter(({upstream}) => upstream === undefined);
	return [...running, ...waiting].filter(item => !applyHeldTicket(state, item, origin)).map(({request}) => request);
};

const applyHeldTicket = (state: GroupState, {request, attempt, upstream, ticket}: HeldTicket, origin: Origin): boolean => {
	const known = state.entries.get(request);
	if (known?.ticket.attempt === attempt) {
		refresh(state, known);
		return known.state.kind === 'waiting' && upstream !== undefined ? applyElsewhere(state, known, origin, upstream) : resend(state, known, upstream);
	}

	if (attempt <= (state.ended.get(request)?.attempt ?? 0)) {
		return true;
	}

	if (ticket === undefined) {
		return false;
	}

	if (upstream === undefined) {
		applyAsk(state, ticket, origin);
	} else {
		addRunning(state, ticket, origin, upstream);
	}

	return true;
};

/** Takes in that a waiting entry runs, granted by another owner. */
const applyElsewhere = (state: GroupState, known: Entry, origin: Origin, upstream: string): true => {
	removeEntry(state, known);
	addRunning(state, known.ticket, origin, upstream);
	return true;
};

/** Repeats a grant that didn't reach its host. */
const resend = (state: GroupState, known: Entry, upstream: string | undefined): true => {
	if (upstream === undefined) {
		sendGrant(state, known);
	}

	return true;
};

const refresh = (state: GroupState, entry: Entry): void => {
	entry.refreshedAt = state.context.clock.monotonic();
};
