import type {GrantRequest, HostId, Milliseconds} from '@gentianlift/types';
import {createHeldTicket, getCurrentTicket} from './tickets.js';
import type {GrantClientOptions, GroupSession} from './types.js';

/** Interval of heartbeats, the messages in which a host names all requests that it holds. */
export const heartbeatInterval: Milliseconds = 2000;
/** Maximum number of ends that are kept while no batch reaches the owner; the oldest are dropped. */
const maxUnsentEnds = 2000;

/** Creates the session with a group's owner. */
export const createSession = (group: string): GroupSession => ({
	group,
	owner: undefined,
	mode: 'owner',
	unsentRequests: new Set(),
	unsentEnds: [],
	heldRequests: new Map(),
	sequence: 0,
	inFlight: 0,
	consecutiveFailures: 0,
	notBefore: 0,
	nextHeartbeatAt: 0,
	includesTickets: false,
});

/** Whether the session has tickets or ends to send. */
export const hasUnsent = (session: GroupSession): boolean => session.unsentRequests.size > 0 || session.unsentEnds.length > 0;

/** Whether the session can be dropped. */
export const isIdle = (session: GroupSession): boolean => session.heldRequests.size === 0 && session.inFlight === 0 && session.mode === 'owner' && session.consecutiveFailures === 0;

/** Sets the owner of the session; a new owner is sent the tickets of all held requests, since it may not know them. */
export const switchOwner = (session: GroupSession, owner: HostId, now: Milliseconds): void => {
	if (session.owner !== owner) {
		session.owner = owner;
		session.includesTickets = session.heldRequests.size > 0;
		session.nextHeartbeatAt = now;
	}
};

/** Takes the next batch of a session, with the heartbeat if one is due. */
export const takeBatch = (session: GroupSession, {clock, self, incarnation}: GrantClientOptions): GrantRequest => {
	const now = clock.monotonic();
	session.sequence++;
	const message: GrantRequest = {
		host: self,
		incarnation,
		group: session.group,
		sequence: session.sequence,
		asks: [...session.unsentRequests].map(held => getCurrentTicket(held, now)),
		ends: session.unsentEnds,
	};
	if (now >= session.nextHeartbeatAt) {
		const includesTickets = session.includesTickets || session.mode === 'alone';
		session.nextHeartbeatAt = now + heartbeatInterval;
		message.held = [...session.heldRequests.values()].map(held => createHeldTicket(held, now, includesTickets && !session.unsentRequests.has(held)));
	}

	session.unsentRequests = new Set();
	session.unsentEnds = [];
	return message;
};

/** Puts back the tickets and ends of a batch that the owner may not have received. */
export const restoreBatch = (session: GroupSession, message: GrantRequest): void => {
	session.unsentEnds = [...message.ends, ...session.unsentEnds].slice(-maxUnsentEnds);
	for (const {request, attempt} of message.asks) {
		const held = session.heldRequests.get(request);
		if (held?.ticket.attempt === attempt && held.upstream === undefined) {
			session.unsentRequests.add(held);
		}
	}
};
