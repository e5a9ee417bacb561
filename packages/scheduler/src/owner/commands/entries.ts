import {
	applyService, applyTurn, getSuspectStanding, hasNeeds,
} from '@gentianlift/policy';
import type {
	Decision, HostId, ShedReason, Ticket, UpstreamId,
} from '@gentianlift/types';
import type {Pick} from '../grant-queue.js';
import {getPrecedence} from '../queries/precedence.js';
import {getExpectedService} from '../queries/times.js';
import {
	type Entry, getEntryKey, getWaiting, type GroupState, type UpstreamState,
} from '../state.js';
import {advanceTime} from './time.js';

/** Digests of prefixes kept for each upstream. */
export const mostPrefixes = 4096;

/** Where a ticket comes from. */
export type Origin = {host: HostId; incarnation: number; sequence: number};

/** Adds a decision to the next message for a host. */
export const send = (state: GroupState, host: HostId, decision: Decision): void => {
	const decisions = state.outbox.get(host) ?? [];
	decisions.push(decision);
	state.outbox.set(host, decisions);
};

/** Adds a waiting entry and puts it into the queue, which grants it as soon as its turn and a slot have come. */
export const addWaiting = (state: GroupState, ticket: Ticket, origin: Origin): Entry => {
	const entry = createEntry(state, ticket, origin);
	advanceTime(state);
	state.entries.set(ticket.request, entry);
	const controller = new AbortController();
	entry.finish = () => {
		controller.abort('ended');
	};

	void run(state, entry, controller.signal);
	return entry;
};

/** Adds an entry that runs already, granted by another owner. */
export const addRunning = (state: GroupState, ticket: Ticket, origin: Origin, upstream: UpstreamId): Entry => {
	const entry = createEntry(state, ticket, origin);
	advanceTime(state);
	state.entries.set(ticket.request, entry);
	setRunning(state, entry, upstream);
	return entry;
};

/** Grants a slot to an entry that waits. */
export const place = (state: GroupState, {entry, upstream}: Pick): void => {
	const {ticket} = entry;
	countOvertaking(state, entry, upstream);
	setRunning(state, entry, upstream);
	applyTurn(state.shares, ticket.rank, ticket.customer);
	applyService(state.shares, ticket.rank, {customer: ticket.customer, weight: ticket.weight, service: getExpectedService(state, ticket)});
	keepPrefixes(state.upstreams.get(upstream), ticket.prefix);
	sendGrant(state, entry);
	state.context.metrics.count('grants', {rank: String(ticket.rank)});
};

/** Sends the grant of a running entry, again if the first may be lost. */
export const sendGrant = (state: GroupState, {host, ticket, state: {...standing}}: Entry): void => {
	if (standing.kind === 'running') {
		send(state, host, {
			kind: 'granted', request: ticket.request, attempt: ticket.attempt, upstream: standing.upstream, priority: ticket.rank,
		});
	}
};

/** Takes an entry out of the group, and gives its slot back. */
export const removeEntry = (state: GroupState, entry: Entry): void => {
	advanceTime(state);
	state.entries.delete(entry.ticket.request);
	if (entry.state.kind === 'running') {
		state.upstreams.get(entry.state.upstream)?.running.delete(entry);
	}

	entry.finish();
};

/** Refuses a waiting entry for good. */
export const shed = (state: GroupState, entry: Entry, reason: ShedReason, retryAfter: number): void => {
	const {request, attempt, rank} = entry.ticket;
	if (reason !== 'no-upstream' && reason !== 'crashes-upstreams' && getWaiting(state).some(other => other.ticket.rank > rank)) {
		state.context.metrics.count('sheds_while_lower_waits', {reason, rank: String(rank)});
	}

	removeEntry(state, entry);
	markEnded(state, request, attempt);
	send(state, entry.host, {
		kind: 'shed', request, attempt, reason, retryAfter: Math.ceil(retryAfter),
	});
	state.context.metrics.count('sheds', {reason, rank: String(rank)});
};

/** Records that an attempt has ended, so that late messages about it have no effect. */
export const markEnded = (state: GroupState, request: string, attempt: number): void => {
	const known = state.ended.get(request)?.attempt ?? 0;
	state.ended.delete(request);
	state.ended.set(request, {attempt: Math.max(known, attempt), at: state.context.clock.monotonic()});
};

/** Records prefixes that an upstream is taken to hold; the oldest are forgotten. */
export const keepPrefixes = (upstream: UpstreamState | undefined, prefixes: readonly string[]): void => {
	if (upstream === undefined) {
		return;
	}

	for (const digest of prefixes) {
		upstream.prefixes.delete(digest);
		upstream.prefixes.add(digest);
	}

	for (const digest of upstream.prefixes) {
		if (upstream.prefixes.size <= mostPrefixes) {
			return;
		}

		upstream.prefixes.delete(digest);
	}
};

/** Counts grants to an entry while a higher rank waits that could run there; only floors may do that. */
const countOvertaking = (state: GroupState, {ticket}: Entry, id: UpstreamId): void => {
	const upstream = state.upstreams.get(id)?.upstream;
	const isOvertaken = ({ticket: other}: Entry): boolean =>
		other.rank < ticket.rank && !other.isolated && !other.avoid.includes(id) && upstream !== undefined && hasNeeds(upstream, other.needs);
	if (getWaiting(state).some(other => isOvertaken(other))) {
		const isFloor = getPrecedence(state, []).floorsDue.includes(ticket.rank);
		state.context.metrics.count('grants_past_higher', {by: isFloor ? 'floor' : 'other'});
	}
};

const createEntry = (state: GroupState, ticket: Ticket, origin: Origin): Entry => {
	const {clock, suspects} = state.context;
	const now = clock.monotonic();
	const isSuspected = getSuspectStanding(suspects, ticket.fingerprint, clock.now()) !== 'clear';
	return {
		key: getEntryKey(ticket.request, ticket.attempt),
		ticket: {...ticket, isolated: ticket.isolated || isSuspected},
		host: origin.host,
		incarnation: origin.incarnation,
		askedIn: origin.sequence,
		refreshedAt: now,
		deadline: now + ticket.slack,
		since: now - ticket.waited,
		sequence: state.nextSequence++,
		state: {kind: 'waiting'},
		finish() {
			// Nothing to end for an entry that never was in the queue.
		},
	};
};

const setRunning = (state: GroupState, entry: Entry, upstream: UpstreamId): void => {
	entry.state = {
		kind: 'running', upstream, startedAt: state.context.clock.monotonic(), expected: getExpectedService(state, entry.ticket), yielding: false,
	};
	state.upstreams.get(upstream)?.running.add(entry);
};

const run = async (state: GroupState, entry: Entry, signal: AbortSignal): Promise<void> => {
	try {
		await state.queue.add(async () => waitForEnd(signal), {entry, id: entry.key, signal});
	} catch {
		// P-queue rejects with the signal's reason once the entry has ended.
	}
};

const waitForEnd = async (signal: AbortSignal): Promise<void> => new Promise(resolve => {
	signal.addEventListener('abort', () => {
		resolve();
	}, {once: true});
});
