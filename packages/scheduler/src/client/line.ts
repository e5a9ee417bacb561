import type {GrantRequest, HostId, Milliseconds} from '@gentianlift/types';
import {getCurrentTicket, getHeld} from './tickets.js';
import type {GrantClientOptions, Line} from './types.js';

/** Interval at which a host names all tickets that it holds. */
export const heartbeatInterval: Milliseconds = 2000;
const mostEnds = 2000;

/** Creates the exchange with a group's owner. */
export const createLine = (group: string): Line => ({
	group,
	owner: undefined,
	mode: 'owner',
	asks: new Set(),
	ends: [],
	pending: new Map(),
	sequence: 0,
	inFlight: false,
	failures: 0,
	notBefore: 0,
	heartbeatAt: 0,
	sendsTickets: false,
});

/** Whether the line has something to send at once. */
export const hasNews = (line: Line): boolean => line.asks.size > 0 || line.ends.length > 0;

/** Whether the line can be forgotten. */
export const isIdle = (line: Line): boolean => line.pending.size === 0 && !line.inFlight && line.mode === 'owner' && line.failures === 0;

/** Names all held tickets whole to an owner that doesn't know them. */
export const prepareOwner = (line: Line, owner: HostId, now: Milliseconds): void => {
	if (line.owner !== owner) {
		line.owner = owner;
		line.sendsTickets = line.pending.size > 0;
		line.heartbeatAt = now;
	}
};

/** Gets the next batch of a line; a due heartbeat rides along. */
export const createMessage = (line: Line, {clock, self, incarnation}: GrantClientOptions): GrantRequest => {
	const now = clock.monotonic();
	line.sequence++;
	const message: GrantRequest = {
		host: self,
		incarnation,
		group: line.group,
		sequence: line.sequence,
		asks: [...line.asks].map(pending => getCurrentTicket(pending, now)),
		ends: [...line.ends],
	};
	if (now >= line.heartbeatAt) {
		const sendsTickets = line.sendsTickets || line.mode === 'alone';
		line.heartbeatAt = now + heartbeatInterval;
		message.held = [...line.pending.values()].map(pending => getHeld(pending, now, sendsTickets && !line.asks.has(pending)));
	}

	return message;
};

/** Forgets what the owner has taken in. */
export const settleMessage = (line: Line, message: GrantRequest): void => {
	const ends = new Set(message.ends);
	line.ends = line.ends.filter(end => !ends.has(end)).slice(-mostEnds);
	const asked = new Map(message.asks.map(({request, attempt}) => [request, attempt]));
	for (const pending of line.asks) {
		if (asked.get(pending.ticket.request) === pending.ticket.attempt) {
			line.asks.delete(pending);
		}
	}
};
