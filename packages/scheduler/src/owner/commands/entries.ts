import {
	chargeService, advanceVirtualTime, getSuspectStatus, canProvide,
} from '@gentianlift/policy';
import type {
	Decision, HostId, ShedReason, Ticket, UpstreamId,
} from '@gentianlift/types';
import type {Assignment} from '../grant-queue.js';
import {getPrecedence} from '../queries/precedence.js';
import {getExpectedServiceTime} from '../queries/forecast.js';
import {
	type TrackedTicket, getEntryKey, getWaitingEntries, type GroupState, type UpstreamState,
} from '../state.js';
import {accountElapsedTime} from './account-time.js';

/** Maximum number of prefix digests kept for each upstream. */
export const maxCachedPrefixes = 4096;

/** Host and message that a ticket came from. */
export type TicketOrigin = {host: HostId; incarnation: number; sequence: number};

/** Adds a decision to the next message to a host. */
export const addDecision = (state: GroupState, host: HostId, decision: Decision): void => {
	const decisions = state.outbox.get(host) ?? [];
	decisions.push(decision);
	state.outbox.set(host, decisions);
};

/** Adds a waiting entry and enqueues it; the queue grants it a slot once it is first in order and a slot is free. */
export const addWaitingEntry = (state: GroupState, ticket: Ticket, origin: TicketOrigin): TrackedTicket => {
	const entry = createEntry(state, ticket, origin);
	accountElapsedTime(state);
	state.entries.set(ticket.request, entry);
	const controller = new AbortController();
	entry.endTask = () => {
		controller.abort('ended');
	};

	void enqueue(state, entry, controller.signal);
	return entry;
};

/** Adds an entry that already runs on an upstream, granted by another owner. */
export const addRunningEntry = (state: GroupState, ticket: Ticket, origin: TicketOrigin, upstream: UpstreamId): TrackedTicket => {
	const entry = createEntry(state, ticket, origin);
	accountElapsedTime(state);
	state.entries.set(ticket.request, entry);
	setRunning(state, entry, upstream);
	return entry;
};

/** Grants a waiting entry a slot of an upstream. */
export const grantSlot = (state: GroupState, {entry, upstream}: Assignment): void => {
	const {ticket} = entry;
	countPriorityInversion(state, entry, upstream);
	setRunning(state, entry, upstream);
	advanceVirtualTime(state.fairShares, ticket.rank, ticket.customer);
	chargeService(state.fairShares, ticket.rank, {customer: ticket.customer, weight: ticket.weight, service: getExpectedServiceTime(state, ticket)});
	recordCachedPrefixes(state.upstreams.get(upstream), ticket.prefix);
	addGrant(state, entry);
	state.context.metrics.count('grants', {rank: String(ticket.rank)});
};

/** Adds the grant of a running entry to the next message to its host; called again when the first message may have been lost. */
export const addGrant = (state: GroupState, {host, ticket, state: {...entryState}}: TrackedTicket): void => {
	if (entryState.kind === 'running') {
		addDecision(state, host, {
			kind: 'granted', request: ticket.request, attempt: ticket.attempt, upstream: entryState.upstream, priority: ticket.rank,
		});
	}
};

/** Removes an entry from the group and frees its slot. */
export const removeEntry = (state: GroupState, entry: TrackedTicket): void => {
	accountElapsedTime(state);
	state.entries.delete(entry.ticket.request);
	if (entry.state.kind === 'running') {
		state.upstreams.get(entry.state.upstream)?.running.delete(entry);
	}

	entry.endTask();
};

/** Removes a waiting entry and sheds its request. */
export const shed = (state: GroupState, entry: TrackedTicket, reason: ShedReason, retryAfter: number): void => {
	const {request, attempt, rank} = entry.ticket;
	// A larger rank has lower priority.
	if (reason !== 'no-upstream' && reason !== 'crashes-upstreams' && getWaitingEntries(state).some(other => other.ticket.rank > rank)) {
		state.context.metrics.count('sheds_while_lower_waits', {reason, rank: String(rank)});
	}

	removeEntry(state, entry);
	rememberEndedAttempt(state, request, attempt);
	addDecision(state, entry.host, {
		kind: 'shed', request, attempt, reason, retryAfter: Math.ceil(retryAfter),
	});
	state.context.metrics.count('sheds', {reason, rank: String(rank)});
};

/** Remembers that an attempt has ended, so that late messages about it have no effect. Re-insertion keeps the attempts in order of time. */
export const rememberEndedAttempt = (state: GroupState, request: string, attempt: number): void => {
	const known = state.endedAttempts.get(request)?.attempt ?? 0;
	state.endedAttempts.delete(request);
	state.endedAttempts.set(request, {attempt: Math.max(known, attempt), at: state.context.clock.monotonic()});
};

/** Records prefixes that an upstream's cache is assumed to hold, and drops the least recently used above the maximum. */
export const recordCachedPrefixes = (upstream: UpstreamState | undefined, prefixes: readonly string[]): void => {
	if (upstream === undefined) {
		return;
	}

	for (const digest of prefixes) {
		upstream.cachedPrefixes.delete(digest);
		upstream.cachedPrefixes.add(digest);
	}

	for (const digest of upstream.cachedPrefixes) {
		if (upstream.cachedPrefixes.size <= maxCachedPrefixes) {
			return;
		}

		upstream.cachedPrefixes.delete(digest);
	}
};

/** Counts a grant to an entry while one of a higher tier, which has a smaller rank, waits that could run on the same upstream; only a floor may cause that. */
const countPriorityInversion = (state: GroupState, {ticket}: TrackedTicket, id: UpstreamId): void => {
	const upstream = state.upstreams.get(id)?.upstream;
	const isPassedOver = ({ticket: other}: TrackedTicket): boolean =>
		other.rank < ticket.rank && !other.isolated && !other.avoid.includes(id) && upstream !== undefined && canProvide(upstream, other.needs);
	if (getWaitingEntries(state).some(other => isPassedOver(other))) {
		const isFloorDue = getPrecedence(state, []).floorsDue.includes(ticket.rank);
		state.context.metrics.count('grants_past_higher', {by: isFloorDue ? 'floor' : 'other'});
	}
};

const createEntry = (state: GroupState, ticket: Ticket, origin: TicketOrigin): TrackedTicket => {
	const {clock, suspects} = state.context;
	const now = clock.monotonic();
	const isSuspected = getSuspectStatus(suspects, ticket.fingerprint, clock.now()) !== 'clear';
	return {
		key: getEntryKey(ticket.request, ticket.attempt),
		ticket: {...ticket, isolated: ticket.isolated || isSuspected},
		host: origin.host,
		incarnation: origin.incarnation,
		askSequence: origin.sequence,
		refreshedAt: now,
		deadline: now + ticket.slack,
		since: now - ticket.waited,
		sequence: state.nextSequence++,
		state: {kind: 'waiting'},
		endTask() {
			// An entry that never was in the queue has no task.
		},
	};
};

const setRunning = (state: GroupState, entry: TrackedTicket, upstream: UpstreamId): void => {
	entry.state = {
		kind: 'running', upstream, startedAt: state.context.clock.monotonic(), expectedDuration: getExpectedServiceTime(state, entry.ticket), isBeingPreempted: false,
	};
	state.upstreams.get(upstream)?.running.add(entry);
};

const enqueue = async (state: GroupState, entry: TrackedTicket, signal: AbortSignal): Promise<void> => {
	try {
		await state.queue.add(async () => waitForAbort(signal), {entry, id: entry.key, signal});
	} catch {
		// P-queue rejects with the signal's reason once the entry has ended.
	}
};

const waitForAbort = async (signal: AbortSignal): Promise<void> => new Promise(resolve => {
	signal.addEventListener('abort', () => {
		resolve();
	}, {once: true});
});
