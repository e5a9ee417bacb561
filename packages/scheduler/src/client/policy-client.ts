import type {Cancel} from '@gentianlift/clock';
import {getGroupsFor} from '@gentianlift/policy';
import type {
	ClassifiedRequest, GrantDecision, GrantResponse, GroupId, Milliseconds, Rank, RequestId, TicketEnd,
} from '@gentianlift/types';
import {chooseGroup, createWaitEstimates} from './choose-group.js';
import {Exchange} from './exchange.js';
import {createSession, hasUnsent, isIdle} from './session.js';
import {createTicket, createWithdrawal, roundEnd} from './tickets.js';
import type {
	GrantOptions, GrantOutcome, GrantClient, GrantClientOptions, GroupSession, HeldRequest,
} from './types.js';

/** Interval at which overdue requests are shed and sessions are checked for messages to send. */
const tickInterval: Milliseconds = 50;
/** Maximum number of waiting requests of one host. */
export const maxHostWaiting = 2000;
/** Maximum memory that the waiting requests of one host take up. */
export const maxHostWaitingBytes = 67_108_864;
/** How long after its deadline a request still waits for the owner's decision. */
const decisionGracePeriod: Milliseconds = 1000;
/** Retry delay given to requests that the host sheds itself, without an estimate of the owner. */
const defaultRetryAfter: Milliseconds = 2000;

/** The grant client for the setting `order: policy`. Requests slots from the owners of groups, and tracks the requests that wait and run at this host. */
export class PolicyClient implements GrantClient {
	readonly #options: GrantClientOptions;
	readonly #exchange: Exchange;
	readonly #sessions = new Map<GroupId, GroupSession>();
	readonly #heldRequests = new Map<RequestId, HeldRequest>();
	readonly #waitEstimates = createWaitEstimates();
	readonly #cancel: Cancel;
	#waiting = 0;
	#bytes = 0;

	constructor(options: GrantClientOptions) {
		this.#options = options;
		this.#exchange = new Exchange(options, answer => {
			this.applyDecisions(answer);
		});
		const {every} = options.clock;
		this.#cancel = every(tickInterval, () => {
			this.#tick();
		});
	}

	readonly requestGrant = async (request: ClassifiedRequest, options: GrantOptions = {}): Promise<GrantOutcome> => {
		const {clock} = this.#options;
		const ticket = createTicket(request, options, clock.now());
		const bytes = options.bytes ?? 0;
		if (!this.#makeRoom(ticket.rank, bytes)) {
			return this.#createRefusal('queue-full');
		}

		const group = this.#chooseGroup(ticket.needs, ticket.rank);
		if (group === undefined) {
			return this.#createRefusal('no-upstream');
		}

		const requestedAt = clock.monotonic();
		return new Promise(resolve => {
			this.#waiting++;
			this.#bytes += bytes;
			this.#enqueue({
				ticket, group, bytes, requestedAt, resolve, rank: ticket.rank, deadline: requestedAt + ticket.slack, hasMoved: false, preemptionController: new AbortController(),
			});
		});
	};

	readonly reportEnd = (end: TicketEnd): void => {
		const held = this.#heldRequests.get(end.request);
		if (held?.ticket.attempt === end.attempt && held.upstream !== undefined) {
			this.#remove(held);
			this.#sendEnd(held.group, roundEnd(end));
		}
	};

	readonly withdraw = (request: RequestId): void => {
		const held = this.#heldRequests.get(request);
		if (held !== undefined && held.upstream === undefined) {
			this.#resolveWaiting(held, {kind: 'withdrawn'});
			this.#sendEnd(held.group, createWithdrawal(held.ticket));
		}
	};

	readonly applyDecisions = (answer: GrantResponse): void => {
		for (const decision of answer.decisions) {
			this.#applyDecision(answer.group, decision);
		}
	};

	readonly getCounts = (): {waiting: number; running: number; bytes: number} => ({waiting: this.#waiting, running: this.#heldRequests.size - this.#waiting, bytes: this.#bytes});

	readonly stop = (): void => {
		this.#cancel();
	};

	#createRefusal(reason: 'queue-full' | 'no-upstream'): GrantOutcome {
		this.#options.metrics.count('host_sheds', {reason});
		return {kind: 'shed', reason, retryAfter: defaultRetryAfter};
	}

	/** Sheds waiting requests of lower ranks, the newest of the lowest rank first, until a new request fits the limits of the host. */
	#makeRoom(rank: Rank, bytes: number): boolean {
		while (this.#waiting >= maxHostWaiting || this.#bytes + bytes > maxHostWaitingBytes) {
			const lowest = this.#getLowestRanked(rank);
			if (lowest === undefined) {
				return false;
			}

			this.#resolveWaiting(lowest, this.#createRefusal('queue-full'));
			this.#sendEnd(lowest.group, createWithdrawal(lowest.ticket));
		}

		return true;
	}

	#getLowestRanked(above: Rank): HeldRequest | undefined {
		let lowest: HeldRequest | undefined;
		for (const held of this.#heldRequests.values()) {
			if (held.upstream === undefined && held.rank > above && held.rank >= (lowest?.rank ?? 0)) {
				lowest = held;
			}
		}

		return lowest;
	}

	#chooseGroup(needs: readonly string[], rank: Rank, except?: GroupId): GroupId | undefined {
		const {clock, random, getGroups} = this.#options;
		const groups = getGroupsFor(getGroups(), needs).filter(({id}) => id !== except);
		const now = clock.monotonic();
		return chooseGroup(groups, id => this.#waitEstimates.getWait(id, rank, now), random)?.id;
	}

	#getSession(group: GroupId): GroupSession {
		const session = this.#sessions.get(group) ?? createSession(group);
		this.#sessions.set(group, session);
		return session;
	}

	#enqueue(held: HeldRequest): void {
		const session = this.#getSession(held.group);
		this.#heldRequests.set(held.ticket.request, held);
		session.heldRequests.set(held.ticket.request, held);
		session.unsentRequests.add(held);
		this.#exchange.flush(session);
	}

	#remove(held: HeldRequest): void {
		const session = this.#getSession(held.group);
		this.#heldRequests.delete(held.ticket.request);
		session.heldRequests.delete(held.ticket.request);
		session.unsentRequests.delete(held);
	}

	/** Resolves a waiting request with its grant, and removes it unless it was granted a slot. */
	#resolveWaiting(held: HeldRequest, grant: GrantOutcome): void {
		this.#waiting--;
		this.#bytes -= held.bytes;
		if (grant.kind === 'granted') {
			this.#getSession(held.group).unsentRequests.delete(held);
		} else {
			this.#remove(held);
		}

		held.resolve(grant);
	}

	#sendEnd(group: GroupId, end: TicketEnd): void {
		const session = this.#getSession(group);
		session.unsentEnds.push(end);
		this.#exchange.flush(session);
	}

	#applyDecision(group: GroupId, decision: GrantDecision): void {
		const held = this.#heldRequests.get(decision.request);
		if (held?.group === group && held.ticket.attempt === decision.attempt) {
			this.#applyToCurrentAttempt(held, decision);
		} else if (decision.kind === 'granted') {
			// The request has ended or has moved to another group, so the slot is returned.
			this.#sendEnd(group, createWithdrawal(decision));
		}
	}

	#applyToCurrentAttempt(held: HeldRequest, decision: GrantDecision): void {
		if (decision.kind === 'yield') {
			held.preemptionController.abort();
		} else if (held.upstream === undefined) {
			this.#applyToWaiting(held, decision);
		}
	}

	#applyToWaiting(held: HeldRequest, decision: Exclude<GrantDecision, {kind: 'yield'}>): void {
		switch (decision.kind) {
			case 'granted': {
				held.upstream = decision.upstream;
				this.#recordWait(held);
				this.#resolveWaiting(held, {
					kind: 'granted', upstream: decision.upstream, priority: decision.priority, preemptionSignal: held.preemptionController.signal,
				});
				break;
			}

			case 'waiting': {
				this.#applyWait(held, decision.expectedWait);
				break;
			}

			case 'shed': {
				this.#resolveWaiting(held, {kind: 'shed', reason: decision.reason, retryAfter: decision.retryAfter});
				break;
			}
		}
	}

	/** Records the wait that the owner expects. If that is too long, moves the request, at most once, to a group with a shorter estimated wait. */
	#applyWait(held: HeldRequest, expectedWait: Milliseconds): void {
		const now = this.#options.clock.monotonic();
		this.#waitEstimates.apply(held.group, held.rank, expectedWait, now);
		const alternative = this.#chooseGroup(held.ticket.needs, held.rank, held.group);
		const isTooLate = expectedWait > held.deadline - now;
		if (alternative === undefined || held.hasMoved || !isTooLate || this.#waitEstimates.getWait(alternative, held.rank, now) >= expectedWait) {
			return;
		}

		const {group} = held;
		this.#remove(held);
		held.group = alternative;
		held.hasMoved = true;
		this.#options.metrics.count('grant_moves');
		this.#sendEnd(group, createWithdrawal(held.ticket));
		this.#enqueue(held);
	}

	#recordWait(held: HeldRequest): void {
		const {clock, metrics} = this.#options;
		metrics.record('grant_wait_ms', clock.monotonic() - held.requestedAt, {rank: String(held.rank)});
	}

	#tick(): void {
		const now = this.#options.clock.monotonic();
		this.#shedOverdue(now);
		for (const [group, session] of this.#sessions) {
			const hasOwnerChanged = session.mode === 'owner' && session.owner !== this.#options.getOwnerOf(group);
			const isDue = session.heldRequests.size > 0 && (hasOwnerChanged || now >= session.nextHeartbeatAt);
			const canProbe = session.mode === 'alone' && now >= session.notBefore;
			if (hasUnsent(session) || isDue || canProbe) {
				this.#exchange.flush(session);
			} else if (isIdle(session)) {
				this.#sessions.delete(group);
			}
		}
	}

	/** Sheds requests that have no decision of the owner when the grace period after their deadline is over. */
	#shedOverdue(now: Milliseconds): void {
		if (this.#options.disabledMechanisms?.includes('admission') === true) {
			return;
		}

		for (const held of this.#heldRequests.values()) {
			const isOverdue = held.upstream === undefined && held.ticket.resumed !== true && now > held.deadline + decisionGracePeriod;
			if (isOverdue) {
				this.#options.metrics.count('host_sheds', {reason: 'deadline-unreachable'});
				this.#resolveWaiting(held, {kind: 'shed', reason: 'deadline-unreachable', retryAfter: defaultRetryAfter});
				this.#sendEnd(held.group, createWithdrawal(held.ticket));
			}
		}
	}
}
