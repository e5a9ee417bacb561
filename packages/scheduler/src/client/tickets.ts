import {getNeeds} from '@gentianlift/policy';
import type {
	ClassifiedRequest, HeldTicket, Milliseconds, Ticket, TicketEnd,
} from '@gentianlift/types';
import type {GrantOptions, HeldRequest} from './types.js';

/** Maximum number of prefix digests in a ticket; those of the longest prefixes are sent. */
const maxPrefixDigests = 4;

/** Creates the ticket of a request. */
export const createTicket = (request: ClassifiedRequest, options: GrantOptions, now: Milliseconds): Ticket => {
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
		prefix: request.work.kind === 'generation' ? request.work.prefix.slice(-maxPrefixDigests) : [],
		avoid: options.avoid ?? [],
		isolated: options.isolated ?? false,
		idempotent: request.idempotent,
		fingerprint: request.fingerprint,
	};
	if (options.preemptions !== undefined && options.preemptions > 0) {
		ticket.yields = options.preemptions;
	}

	if (options.resumed === true) {
		ticket.resumed = true;
	}

	return ticket;
};

/** Returns the ticket of a held request with its slack and wait as of now. */
export const getCurrentTicket = ({ticket, requestedAt}: HeldRequest, now: Milliseconds): Ticket => {
	const elapsed = now - requestedAt;
	return {...ticket, slack: Math.round(ticket.slack - elapsed), waited: Math.round(ticket.waited + elapsed)};
};

/** Creates a heartbeat's entry for a request. */
export const createHeldTicket = (heldRequest: HeldRequest, now: Milliseconds, withTicket: boolean): HeldTicket => {
	const held: HeldTicket = {request: heldRequest.ticket.request, attempt: heldRequest.ticket.attempt};
	if (heldRequest.upstream !== undefined) {
		held.upstream = heldRequest.upstream;
	}

	if (withTicket) {
		held.ticket = getCurrentTicket(heldRequest, now);
	}

	return held;
};

/** Creates the end of an attempt that never ran. */
export const createWithdrawal = ({request, attempt}: Pick<Ticket, 'request' | 'attempt'>): TicketEnd => ({
	request, attempt, kind: 'withdrawn', tokens: 0, duration: 0,
});

/** Rounds the times of an end to whole milliseconds, which are shorter on the wire. */
export const roundEnd = (end: TicketEnd): TicketEnd => {
	const rounded: TicketEnd = {...end, duration: Math.round(end.duration)};
	if (end.firstTokenAfter !== undefined) {
		rounded.firstTokenAfter = Math.round(end.firstTokenAfter);
	}

	return rounded;
};
