import type {Cancel} from '@gentianlift/clock';
import {getGroupsFor} from '@gentianlift/policy';
import type {
	ClassifiedRequest, Decision, GrantAnswer, GroupId, Milliseconds, Rank, RequestId, TicketEnd,
} from '@gentianlift/types';
import {chooseGroup, createWaitDigests} from './choose-group.js';
import {Exchange} from './exchange.js';
import {createLine, hasNews, isIdle} from './line.js';
import {getRoundedEnd, getTicket, getWithdrawal} from './tickets.js';
import type {
	AskOptions, Grant, GrantClient, GrantClientOptions, Line, Pending,
} from './types.js';

const tickInterval: Milliseconds = 50;
/** Waiting requests of one host. */
export const mostHostWaiting = 2000;
/** Bytes that the waiting requests of one host hold. */
export const mostHostBytes = 67_108_864;
/** How long after its deadline a request waits for the owner's word. */
const answerGrace: Milliseconds = 1000;
const defaultRetryAfter: Milliseconds = 2000;

/** Asks the owners of groups, and keeps what waits and runs at this host. */
export class OrderedClient implements GrantClient {
	readonly #options: GrantClientOptions;
	readonly #exchange: Exchange;
	readonly #lines = new Map<GroupId, Line>();
	readonly #pendings = new Map<RequestId, Pending>();
	readonly #digests = createWaitDigests();
	readonly #cancel: Cancel;
	#waiting = 0;
	#bytes = 0;

	constructor(options: GrantClientOptions) {
		this.#options = options;
		this.#exchange = new Exchange(options, answer => {
			this.receive(answer);
		});
		const {every} = options.clock;
		this.#cancel = every(tickInterval, () => {
			this.#tick();
		});
	}

	readonly ask = async (request: ClassifiedRequest, options: AskOptions = {}): Promise<Grant> => {
		const {clock} = this.#options;
		const ticket = getTicket(request, options, clock.now());
		const bytes = options.bytes ?? 0;
		if (!this.#makeRoom(ticket.rank, bytes)) {
			return this.#getRefusal('queue-full');
		}

		const group = this.#chooseGroup(ticket.needs, ticket.rank);
		if (group === undefined) {
			return this.#getRefusal('no-upstream');
		}

		const askedAt = clock.monotonic();
		return new Promise(resolve => {
			this.#waiting++;
			this.#bytes += bytes;
			this.#put({
				ticket, group, bytes, askedAt, resolve, rank: ticket.rank, deadline: askedAt + ticket.slack, moved: false, yielding: new AbortController(),
			});
		});
	};

	readonly end = (end: TicketEnd): void => {
		const pending = this.#pendings.get(end.request);
		if (pending?.ticket.attempt === end.attempt && pending.upstream !== undefined) {
			this.#remove(pending);
			this.#sendEnd(pending.group, getRoundedEnd(end));
		}
	};

	readonly withdraw = (request: RequestId): void => {
		const pending = this.#pendings.get(request);
		if (pending !== undefined && pending.upstream === undefined) {
			this.#settle(pending, {kind: 'withdrawn'});
			this.#sendEnd(pending.group, getWithdrawal(pending.ticket));
		}
	};

	readonly receive = (answer: GrantAnswer): void => {
		for (const decision of answer.decisions) {
			this.#applyDecision(answer.group, decision);
		}
	};

	readonly getCounts = (): {waiting: number; running: number; bytes: number} => ({waiting: this.#waiting, running: this.#pendings.size - this.#waiting, bytes: this.#bytes});

	readonly stop = (): void => {
		this.#cancel();
	};

	#getRefusal(reason: 'queue-full' | 'no-upstream'): Grant {
		this.#options.metrics.count('host_sheds', {reason});
		return {kind: 'shed', reason, retryAfter: defaultRetryAfter};
	}

	/** Refuses waiting requests of lower ranks, the newest of the lowest first, while the host holds too much. */
	#makeRoom(rank: Rank, bytes: number): boolean {
		while (this.#waiting >= mostHostWaiting || this.#bytes + bytes > mostHostBytes) {
			const lowest = this.#getLowest(rank);
			if (lowest === undefined) {
				return false;
			}

			this.#settle(lowest, this.#getRefusal('queue-full'));
			this.#sendEnd(lowest.group, getWithdrawal(lowest.ticket));
		}

		return true;
	}

	#getLowest(above: Rank): Pending | undefined {
		let lowest: Pending | undefined;
		for (const pending of this.#pendings.values()) {
			if (pending.upstream === undefined && pending.rank > above && pending.rank >= (lowest?.rank ?? 0)) {
				lowest = pending;
			}
		}

		return lowest;
	}

	#chooseGroup(needs: readonly string[], rank: Rank, except?: GroupId): GroupId | undefined {
		const {clock, random, getGroups} = this.#options;
		const groups = getGroupsFor(getGroups(), needs).filter(({id}) => id !== except);
		const now = clock.monotonic();
		return chooseGroup(groups, id => this.#digests.getWait(id, rank, now), random)?.id;
	}

	#getLine(group: GroupId): Line {
		const line = this.#lines.get(group) ?? createLine(group);
		this.#lines.set(group, line);
		return line;
	}

	#put(pending: Pending): void {
		const line = this.#getLine(pending.group);
		this.#pendings.set(pending.ticket.request, pending);
		line.pending.set(pending.ticket.request, pending);
		line.asks.add(pending);
		this.#exchange.flush(line);
	}

	#remove(pending: Pending): void {
		const line = this.#getLine(pending.group);
		this.#pendings.delete(pending.ticket.request);
		line.pending.delete(pending.ticket.request);
		line.asks.delete(pending);
	}

	/** Gives a waiting request its answer. */
	#settle(pending: Pending, grant: Grant): void {
		this.#waiting--;
		this.#bytes -= pending.bytes;
		if (grant.kind === 'granted') {
			this.#getLine(pending.group).asks.delete(pending);
		} else {
			this.#remove(pending);
		}

		pending.resolve(grant);
	}

	#sendEnd(group: GroupId, end: TicketEnd): void {
		const line = this.#getLine(group);
		line.ends.push(end);
		this.#exchange.flush(line);
	}

	#applyDecision(group: GroupId, decision: Decision): void {
		const pending = this.#pendings.get(decision.request);
		if (pending?.group === group && pending.ticket.attempt === decision.attempt) {
			this.#applyCurrent(pending, decision);
		} else if (decision.kind === 'granted') {
			// The request has ended or moved, so the slot goes back.
			this.#sendEnd(group, getWithdrawal(decision));
		}
	}

	#applyCurrent(pending: Pending, decision: Decision): void {
		if (decision.kind === 'yield') {
			pending.yielding.abort();
		} else if (pending.upstream === undefined) {
			this.#applyToWaiting(pending, decision);
		}
	}

	#applyToWaiting(pending: Pending, decision: Exclude<Decision, {kind: 'yield'}>): void {
		switch (decision.kind) {
			case 'granted': {
				pending.upstream = decision.upstream;
				this.#recordWait(pending);
				this.#settle(pending, {
					kind: 'granted', upstream: decision.upstream, priority: decision.priority, yieldSignal: pending.yielding.signal,
				});
				break;
			}

			case 'waiting': {
				this.#applyWait(pending, decision.expectedWait);
				break;
			}

			case 'shed': {
				this.#settle(pending, {kind: 'shed', reason: decision.reason, retryAfter: decision.retryAfter});
				break;
			}
		}
	}

	/** Records what the owner expects, and moves the request once to a group that promises a shorter wait. */
	#applyWait(pending: Pending, expectedWait: Milliseconds): void {
		const now = this.#options.clock.monotonic();
		this.#digests.apply(pending.group, pending.rank, expectedWait, now);
		const other = this.#chooseGroup(pending.ticket.needs, pending.rank, pending.group);
		const isLate = expectedWait > pending.deadline - now;
		if (other === undefined || pending.moved || !isLate || this.#digests.getWait(other, pending.rank, now) >= expectedWait) {
			return;
		}

		const {group} = pending;
		this.#remove(pending);
		pending.group = other;
		pending.moved = true;
		this.#options.metrics.count('grant_moves');
		this.#sendEnd(group, getWithdrawal(pending.ticket));
		this.#put(pending);
	}

	#recordWait(pending: Pending): void {
		const {clock, metrics} = this.#options;
		metrics.record('grant_wait_ms', clock.monotonic() - pending.askedAt, {rank: String(pending.rank)});
	}

	#tick(): void {
		const now = this.#options.clock.monotonic();
		this.#giveUpOverdue(now);
		for (const [group, line] of this.#lines) {
			const hasMoved = line.mode === 'owner' && line.owner !== this.#options.getOwnerOf(group);
			const isDue = line.pending.size > 0 && (hasMoved || now >= line.heartbeatAt);
			const mayRecover = line.mode === 'alone' && now >= line.notBefore;
			if (hasNews(line) || isDue || mayRecover) {
				this.#exchange.flush(line);
			} else if (isIdle(line)) {
				this.#lines.delete(group);
			}
		}
	}

	/** Refuses requests whose owner has said nothing up to well after their deadline. */
	#giveUpOverdue(now: Milliseconds): void {
		if (this.#options.without?.includes('admission') === true) {
			return;
		}

		for (const pending of this.#pendings.values()) {
			const isOverdue = pending.upstream === undefined && pending.ticket.resumed !== true && now > pending.deadline + answerGrace;
			if (isOverdue) {
				this.#options.metrics.count('host_sheds', {reason: 'deadline-unreachable'});
				this.#settle(pending, {kind: 'shed', reason: 'deadline-unreachable', retryAfter: defaultRetryAfter});
				this.#sendEnd(pending.group, getWithdrawal(pending.ticket));
			}
		}
	}
}
