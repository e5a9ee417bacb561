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
	/** Ranks whose floor is due now, in the order in which they are served. */
	floorsDue: readonly Rank[];
	/** How far a customer is ahead of its share inside a rank, in steps; those within the same step are taken as even. */
	getLead: (rank: Rank, customer: CustomerId) => number;
};

/** Compares two waiting tickets: floors that are due, then rank, then the customers' shares, then the least slack. */
export const compareWaiting = (first: Waiting, second: Waiting, precedence: Precedence): number =>
	compareTurns(getTurn(first, precedence, 0), getTurn(second, precedence, 0));

type Turn<Item extends Waiting> = {item: Item; floor: number; lead: number};

const getTurn = <Item extends Waiting>(item: Item, {floorsDue, getLead}: Precedence, ahead: number): Turn<Item> => ({
	item,
	floor: floorsDue.includes(item.ticket.rank) ? floorsDue.indexOf(item.ticket.rank) : floorsDue.length,
	lead: Math.floor(getLead(item.ticket.rank, item.ticket.customer) + ahead),
});

const compareTurns = (first: Turn<Waiting>, second: Turn<Waiting>): number =>
	first.floor - second.floor
	|| first.item.ticket.rank - second.item.ticket.rank
	|| first.lead - second.lead
	|| first.item.deadline - second.item.deadline
	|| first.item.sequence - second.item.sequence;

/**
 * Gets the order in which waiting tickets are expected to be served if none joins them.
 * `getSteps` is the service of a ticket by its customer's weight, in steps: it counts for the customer's later tickets.
 */
export const getServiceOrder = <Item extends Waiting>(waiting: readonly Item[], precedence: Precedence, getSteps: (item: Item) => number): Item[] => {
	const ahead = new Map<string, number>();
	const turns = waiting.toSorted((first, second) => compareWaiting(first, second, precedence)).map(item => {
		const key = `${item.ticket.rank}/${item.ticket.customer}`;
		const steps = ahead.get(key) ?? 0;
		ahead.set(key, steps + getSteps(item));
		return getTurn(item, precedence, steps);
	});
	return turns.toSorted(compareTurns).map(({item}) => item);
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
