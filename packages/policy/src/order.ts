import type {
	CustomerId, Milliseconds, Rank, Ticket,
} from '@gentianlift/types';

/** A ticket that is queued at the owner of its group. */
export type QueuedTicket = {
	ticket: Ticket;
	/** When its target is missed, on the owner's monotonic clock. */
	deadline: Milliseconds;
	/** Start of its wait, on the owner's monotonic clock. */
	since: Milliseconds;
	/** Order of arrival at the owner. */
	sequence: number;
};

/** State of floors and customers that determines the order of tickets. */
export type Precedence = {
	/** Ranks whose floor is due, in the order in which they are served. */
	floorsDue: readonly Rank[];
	/** Returns how far a customer is ahead of others in weighted service within a rank, in steps; differences within a step are ignored. */
	getLead: (rank: Rank, customer: CustomerId) => number;
};

/** Compares two queued tickets by due floors, then rank, then the customers' fair shares, then deadline, then arrival. */
export const compareQueued = (first: QueuedTicket, second: QueuedTicket, precedence: Precedence): number =>
	compareOrderKeys(getOrderKey(first, precedence, 0), getOrderKey(second, precedence, 0));

type OrderKey<Item extends QueuedTicket> = {item: Item; floorPosition: number; lead: number};

const getOrderKey = <Item extends QueuedTicket>(item: Item, {floorsDue, getLead}: Precedence, extraSteps: number): OrderKey<Item> => ({
	item,
	floorPosition: floorsDue.includes(item.ticket.rank) ? floorsDue.indexOf(item.ticket.rank) : floorsDue.length,
	lead: Math.floor(getLead(item.ticket.rank, item.ticket.customer) + extraSteps),
});

const compareOrderKeys = (first: OrderKey<QueuedTicket>, second: OrderKey<QueuedTicket>): number =>
	first.floorPosition - second.floorPosition
	|| first.item.ticket.rank - second.item.ticket.rank
	|| first.lead - second.lead
	|| first.item.deadline - second.item.deadline
	|| first.item.sequence - second.item.sequence;

/**
 * Returns the order in which queued tickets are expected to be served if no others arrive.
 * `getSteps` returns the service of a ticket divided by its customer's weight, in steps; it adds to the lead with which
 * the customer's later tickets are ordered.
 */
export const getServiceOrder = <Item extends QueuedTicket>(tickets: readonly Item[], precedence: Precedence, getSteps: (item: Item) => number): Item[] => {
	const stepsByCustomer = new Map<string, number>();
	const orderKeys = tickets.toSorted((first, second) => compareQueued(first, second, precedence)).map(item => {
		const key = `${item.ticket.rank}/${item.ticket.customer}`;
		const stepsBefore = stepsByCustomer.get(key) ?? 0;
		stepsByCustomer.set(key, stepsBefore + getSteps(item));
		return getOrderKey(item, precedence, stepsBefore);
	});
	return orderKeys.toSorted(compareOrderKeys).map(({item}) => item);
};

/** Returns the first in order of the tickets for which `passes` is true. */
export const findFirst = (tickets: Iterable<QueuedTicket>, precedence: Precedence, passes: (ticket: Ticket) => boolean): QueuedTicket | undefined => {
	let first: QueuedTicket | undefined;
	for (const item of tickets) {
		const isEarlier = first === undefined || compareQueued(item, first, precedence) < 0;
		if (isEarlier && passes(item.ticket)) {
			first = item;
		}
	}

	return first;
};
