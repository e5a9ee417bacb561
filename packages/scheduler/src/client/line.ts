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
	inFlight: 0,
	failures: 0,
	notBefore: 0,
	heartbeatAt: 0,
	sendsTickets: false,
});

/** Whether the line has something to send at once. */
export const hasNews = (line: Line): boolean => line.asks.size > 0 || line.ends.length > 0;

/** Whether the line can be forgotten. */
export const isIdle = (line: Line): boolean => line.pending.size === 0 && line.inFlight === 0 && line.mode === 'owner' && line.failures === 0;

/** Names all held tickets whole to an owner that doesn't know them. */
export const prepareOwner = (line: Line, owner: HostId, now: Milliseconds): void => {
	if (line.owner !== owner) {
		line.owner = owner;
		line.sendsTickets = line.pending.size > 0;
		line.heartbeatAt = now;
	}
};

/** Takes the next batch of a line; a due heartbeat rides along. */
export const takeMessage = (line: Line, {clock, self, incarnation}: GrantClientOptions): GrantRequest => {
	const now = clock.monotonic();
	line.sequence++;
	const message: GrantRequest = {
		host: self,
		incarnation,
		group: line.group,
		sequence: line.sequence,
		asks: [...line.asks].map(pending => getCurrentTicket(pending, now)),
		ends: line.ends,
	};
	if (now >= line.heartbeatAt) {
		const sendsTickets = line.sendsTickets || line.mode === 'alone';
		line.heartbeatAt = now + heartbeatInterval;
		message.held = [...line.pending.values()].map(pending => getHeld(pending, now, sendsTickets && !line.asks.has(pending)));
	}

	line.asks = new Set();
	line.ends = [];
	return message;
};

/** Puts back what the owner may not have taken in. */
export const restoreMessage = (line: Line, message: GrantRequest): void => {
	line.ends = [...message.ends, ...line.ends].slice(-mostEnds);
	for (const {request, attempt} of message.asks) {
		const pending = line.pending.get(request);
		if (pending?.ticket.attempt === attempt && pending.upstream === undefined) {
			line.asks.add(pending);
		}
	}
};
