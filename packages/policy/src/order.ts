import type {
	CustomerId, Milliseconds, Rank, Ticket,
} from '@gentianlift/types';

/** A waiting ticket at the owner of its group. */
export type Waiting = {
	ticket: Ticket;
	/** On the owner's monotonic clock. */
	deadline: Milliseconds;
	/** On the owner's monotonic clock. */
	since: Milliseconds;
	/** Order of arrival at the owner. */
	sequence: number;
};

/** What the order depends on beside the tickets. */
export type Precedence = {
	/** Ranks whose floor is due now. */
	floorsDue: ReadonlySet<Rank>;
	/** How many steps a customer is ahead of its share inside a rank; 0 is served first. */
	getLead: (rank: Rank, customer: CustomerId) => number;
};

/** Compares two waiting tickets: floors that are due, then rank, then the customers' shares, then the least slack. */
export const compareWaiting = (first: Waiting, second: Waiting, precedence: Precedence): number => {
	const floor = Number(precedence.floorsDue.has(second.ticket.rank)) - Number(precedence.floorsDue.has(first.ticket.rank));
	return floor
		|| first.ticket.rank - second.ticket.rank
		|| precedence.getLead(first.ticket.rank, first.ticket.customer) - precedence.getLead(second.ticket.rank, second.ticket.customer)
		|| first.deadline - second.deadline
		|| first.sequence - second.sequence;
};

/** Gets the first in order among the tickets that pass. */
export const getFirst = (waiting: Iterable<Waiting>, precedence: Precedence, passes: (ticket: Ticket) => boolean): Waiting | undefined => {
	let first: Waiting | undefined;
	for (const item of waiting) {
		const isEarlier = first === undefined || compareWaiting(item, first, precedence) < 0;
		if (isEarlier && passes(item.ticket)) {
			first = item;
		}
	}

	return first;
};
