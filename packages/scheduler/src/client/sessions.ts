import type {GroupId, Milliseconds, TicketEnd} from '@gentianlift/types';
import type {Exchange} from './exchange.js';
import {createSession, hasUnsent, isIdle} from './session.js';
import type {GrantClientOptions, GroupSession, HeldRequest} from './types.js';

/** The sessions of this host with the owners of groups, created on first use. */
export class Sessions {
	readonly #options: Pick<GrantClientOptions, 'getOwnerOf'>;
	readonly #exchange: Pick<Exchange, 'flush'>;
	readonly #sessions = new Map<GroupId, GroupSession>();

	constructor(options: Pick<GrantClientOptions, 'getOwnerOf'>, exchange: Pick<Exchange, 'flush'>) {
		this.#options = options;
		this.#exchange = exchange;
	}

	/** Adds a waiting request to the session of its group, and sends its ticket. */
	sendTicket(held: HeldRequest): void {
		const session = this.#getSession(held.group);
		session.heldRequests.set(held.ticket.request, held);
		session.unsentRequests.add(held);
		this.#exchange.flush(session);
	}

	/** Sends the end of an attempt to the owner of a group. */
	sendEnd(group: GroupId, end: TicketEnd): void {
		const session = this.#getSession(group);
		session.unsentEnds.push(end);
		this.#exchange.flush(session);
	}

	/** Drops the unsent ticket of a request, which the session still holds. */
	dropTicket(held: HeldRequest): void {
		this.#getSession(held.group).unsentRequests.delete(held);
	}

	/** Removes a request from the session of its group. */
	remove(held: HeldRequest): void {
		const session = this.#getSession(held.group);
		session.heldRequests.delete(held.ticket.request);
		session.unsentRequests.delete(held);
	}

	/** Sends what is unsent or due, and drops idle sessions. */
	flushDue(now: Milliseconds): void {
		for (const [group, session] of this.#sessions) {
			if (hasUnsent(session) || this.#isHeartbeatDue(session, now) || isProbeDue(session, now)) {
				this.#exchange.flush(session);
			} else if (isIdle(session)) {
				this.#sessions.delete(group);
			}
		}
	}

	#getSession(group: GroupId): GroupSession {
		const session = this.#sessions.get(group) ?? createSession(group);
		this.#sessions.set(group, session);
		return session;
	}

	/** Whether the owner has to be sent the held requests: their interval is over, or it is a new owner. */
	#isHeartbeatDue(session: GroupSession, now: Milliseconds): boolean {
		const hasOwnerChanged = session.mode === 'owner' && session.owner !== this.#options.getOwnerOf(session.group);
		return session.heldRequests.size > 0 && (hasOwnerChanged || now >= session.nextHeartbeatAt);
	}
}

const isProbeDue = ({mode, notBefore}: GroupSession, now: Milliseconds): boolean => mode === 'alone' && now >= notBefore;
