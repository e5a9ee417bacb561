import {getNeeds} from '@gentianlift/policy';
import type {
	ClassifiedRequest, HeldTicket, Milliseconds, Ticket, TicketEnd,
} from '@gentianlift/types';
import type {AskOptions, Pending} from './types.js';

/** Digests of the longest prefixes that go with a ticket. */
const mostPrefixDigests = 4;

/** Gets the ticket of a request. */
export const getTicket = (request: ClassifiedRequest, options: AskOptions, now: Milliseconds): Ticket => {
	const ticket: Ticket = {
		request: request.id,
		attempt: options.attempt ?? 1,
		customer: request.customer,
		weight: request.weight,
		className: request.className,
		rank: request.rank,
		slack: request.deadline - now,
		waited: Math.max(0, now - request.arrivedAt),
		expectedTokens: request.work.kind === 'generation' ? request.expectedTokens : 0,
		promptTokens: request.work.kind === 'generation' ? request.work.promptTokens : 0,
		needs: getNeeds(request.work),
		prefix: request.work.kind === 'generation' ? request.work.prefix.slice(-mostPrefixDigests) : [],
		avoid: options.avoid ?? [],
		isolated: options.isolated ?? false,
		idempotent: request.idempotent,
		fingerprint: request.fingerprint,
	};
	if (options.yields !== undefined && options.yields > 0) {
		ticket.yields = options.yields;
	}

	if (options.resumed === true) {
		ticket.resumed = true;
	}

	return ticket;
};

/** Gets a ticket with its times as of now. */
export const getCurrentTicket = ({ticket, askedAt}: Pending, now: Milliseconds): Ticket => {
	const elapsed = now - askedAt;
	return {...ticket, slack: Math.round(ticket.slack - elapsed), waited: Math.round(ticket.waited + elapsed)};
};

/** Gets what a heartbeat says of a request. */
export const getHeld = (pending: Pending, now: Milliseconds, withTicket: boolean): HeldTicket => {
	const held: HeldTicket = {request: pending.ticket.request, attempt: pending.ticket.attempt};
	if (pending.upstream !== undefined) {
		held.upstream = pending.upstream;
	}

	if (withTicket) {
		held.ticket = getCurrentTicket(pending, now);
	}

	return held;
};

/** Gets the end of an attempt that never ran. */
export const getWithdrawal = ({request, attempt}: Pick<Ticket, 'request' | 'attempt'>): TicketEnd => ({
	request, attempt, kind: 'withdrawn', tokens: 0, duration: 0,
});

/** Gets an end with whole numbers, which are shorter on the wire. */
export const getRoundedEnd = (end: TicketEnd): TicketEnd => {
	const rounded: TicketEnd = {...end, duration: Math.round(end.duration)};
	if (end.firstTokenAfter !== undefined) {
		rounded.firstTokenAfter = Math.round(end.firstTokenAfter);
	}

	return rounded;
};
