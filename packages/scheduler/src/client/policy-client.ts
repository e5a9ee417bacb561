import type {Cancel} from '@gentianlift/clock';
import type {
	ClassifiedRequest, GrantDecision, GrantResponse, GroupId, Milliseconds, Rank, RequestId, TicketEnd,
} from '@gentianlift/types';
import {Exchange} from './exchange.js';
import {GroupChoice} from './group-choice.js';
import {HeldRequests} from './held-requests.js';
import {Sessions} from './sessions.js';
import {createTicket, createWithdrawal, roundEnd} from './tickets.js';
import type {
	GrantOptions, GrantOutcome, GrantClient, GrantClientOptions, HeldRequest,
} from './types.js';

/** Interval at which overdue requests are shed and sessions are checked for messages to send. */
const tickInterval: Milliseconds = 50;
/** How long after its deadline a request still waits for the owner's decision. */
const decisionGracePeriod: Milliseconds = 1000;
/** Retry delay given to requests that the host sheds itself, without an estimate of the owner. */
const defaultRetryAfter: Milliseconds = 2000;

/** The grant client for the setting `order: policy`. Requests slots from the owners of groups, and tracks the requests that wait and run at this host. */
export class PolicyClient implements GrantClient {
	readonly #options: GrantClientOptions;
	readonly #sessions: Sessions;
	readonly #groupChoice: GroupChoice;
	readonly #heldRequests = new HeldRequests();
	readonly #cancel: Cancel;

	constructor(options: GrantClientOptions) {
		this.#options = options;
		this.#sessions = new Sessions(options, new Exchange(options, answer => {
			this.applyDecisions(answer);
		}));
		this.#groupChoice = new GroupChoice(options);
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

		const group = this.#groupChoice.choose(ticket.needs, ticket.rank);
		if (group === undefined) {
			return this.#createRefusal('no-upstream');
		}

		const requestedAt = clock.monotonic();
		return new Promise(resolve => {
			const held: HeldRequest = {
				ticket, group, bytes, requestedAt, resolve, rank: ticket.rank, deadline: requestedAt + ticket.slack, hasMoved: false, preemptionController: new AbortController(),
			};
			this.#heldRequests.beginWait(held);
			this.#enqueue(held);
		});
	};

	readonly reportEnd = (end: TicketEnd): void => {
		const held = this.#heldRequests.get(end.request);
		if (held?.ticket.attempt === end.attempt && held.upstream !== undefined) {
			this.#remove(held);
			this.#sessions.sendEnd(held.group, roundEnd(end));
		}
	};

	readonly withdraw = (request: RequestId): void => {
		const held = this.#heldRequests.get(request);
		if (held !== undefined && held.upstream === undefined) {
			this.#endWaiting(held, {kind: 'withdrawn'});
		}
	};

	readonly applyDecisions = (answer: GrantResponse): void => {
		for (const decision of answer.decisions) {
			this.#applyDecision(answer.group, decision);
		}
	};

	readonly getCounts = (): {waiting: number; running: number; bytes: number} => this.#heldRequests.getCounts();

	readonly stop = (): void => {
		this.#cancel();
	};

	/** Counts and creates the outcome of a request that the host sheds itself. */
	#createRefusal(reason: 'queue-full' | 'no-upstream' | 'deadline-unreachable'): Exclude<GrantOutcome, {kind: 'granted'}> {
		this.#options.metrics.count('host_sheds', {reason});
		return {kind: 'shed', reason, retryAfter: defaultRetryAfter};
	}

	/** Sheds waiting requests of lower ranks, the newest of the lowest rank first, until a new request fits the limits of the host. */
	#makeRoom(rank: Rank, bytes: number): boolean {
		while (!this.#heldRequests.hasRoom(bytes)) {
			const lowest = this.#heldRequests.getLowestRanked(rank);
			if (lowest === undefined) {
				return false;
			}

			this.#endWaiting(lowest, this.#createRefusal('queue-full'));
		}

		return true;
	}

	#enqueue(held: HeldRequest): void {
		this.#heldRequests.add(held);
		this.#sessions.sendTicket(held);
	}

	#remove(held: HeldRequest): void {
		this.#heldRequests.remove(held);
		this.#sessions.remove(held);
	}

	/** Resolves a waiting request with its grant, and removes it unless it was granted a slot. */
	#resolveWaiting(held: HeldRequest, grant: GrantOutcome): void {
		this.#heldRequests.endWait(held);
		if (grant.kind === 'granted') {
			this.#sessions.dropTicket(held);
		} else {
			this.#remove(held);
		}

		held.resolve(grant);
	}

	/** Resolves a waiting request without a decision of the owner, and withdraws its ticket. */
	#endWaiting(held: HeldRequest, grant: Exclude<GrantOutcome, {kind: 'granted'}>): void {
		this.#resolveWaiting(held, grant);
		this.#sessions.sendEnd(held.group, createWithdrawal(held.ticket));
	}

	#applyDecision(group: GroupId, decision: GrantDecision): void {
		const held = this.#heldRequests.get(decision.request);
		if (held?.group === group && held.ticket.attempt === decision.attempt) {
			this.#applyToCurrentAttempt(held, decision);
		} else if (decision.kind === 'granted') {
			// The request has ended or has moved to another group, so the slot is returned.
			this.#sessions.sendEnd(group, createWithdrawal(decision));
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

	/** Records the wait that the owner expects, and moves the request, at most once, if that is too long and another group's is shorter. */
	#applyWait(held: HeldRequest, expectedWait: Milliseconds): void {
		const now = this.#options.clock.monotonic();
		this.#groupChoice.recordWait(held, expectedWait, now);
		const alternative = this.#groupChoice.chooseMove(held, expectedWait, now);
		if (alternative !== undefined) {
			this.#move(held, alternative);
		}
	}

	/** Moves a waiting request to another group. */
	#move(held: HeldRequest, alternative: GroupId): void {
		const {group} = held;
		this.#remove(held);
		held.group = alternative;
		held.hasMoved = true;
		this.#options.metrics.count('grant_moves');
		this.#sessions.sendEnd(group, createWithdrawal(held.ticket));
		this.#enqueue(held);
	}

	#recordWait(held: HeldRequest): void {
		const {clock, metrics} = this.#options;
		metrics.record('grant_wait_ms', clock.monotonic() - held.requestedAt, {rank: String(held.rank)});
	}

	#tick(): void {
		const now = this.#options.clock.monotonic();
		this.#shedOverdue(now);
		this.#sessions.flushDue(now);
	}

	/** Sheds requests that have no decision of the owner when the grace period after their deadline is over. */
	#shedOverdue(now: Milliseconds): void {
		if (this.#options.disabledMechanisms?.includes('admission') === true) {
			return;
		}

		for (const held of this.#heldRequests.values()) {
			const isOverdue = held.upstream === undefined && held.ticket.resumed !== true && now > held.deadline + decisionGracePeriod;
			if (isOverdue) {
				this.#endWaiting(held, this.#createRefusal('deadline-unreachable'));
			}
		}
	}
}
