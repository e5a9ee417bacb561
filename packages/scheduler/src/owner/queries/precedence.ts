import {
	type FloorDemand, getFloorsDue, getLeads, type Precedence,
} from '@gentianlift/policy';
import type {CustomerId, Rank} from '@gentianlift/types';
import {type TrackedTicket, getUsableSlots, type GroupState} from '../state.js';

/** Returns the floor of each tier, the slots that it uses in a group, and whether it waits for more. */
export const getFloorDemands = (state: GroupState): FloorDemand[] => {
	const running = new Map<Rank, number>();
	const waiting = new Set<Rank>();
	for (const {ticket, state: {kind}} of state.entries.values()) {
		if (kind === 'waiting') {
			waiting.add(ticket.rank);
		} else {
			running.set(ticket.rank, (running.get(ticket.rank) ?? 0) + 1);
		}
	}

	return state.context.tiers.map(({floor}, rank) => ({
		rank,
		// The highest tier needs no floor, since no tier precedes it.
		floor: rank === 0 ? 0 : floor,
		running: running.get(rank) ?? 0,
		waiting: waiting.has(rank),
	}));
};

/** Returns the precedence of a group's waiting entries: floors that are due, and each customer's lead in fair sharing. */
export const getPrecedence = (state: GroupState, waiting: Iterable<TrackedTicket>): Precedence => {
	const {disabledMechanisms} = state.context;
	const floorsDue = disabledMechanisms.has('floor') ? [] : getFloorsDue(state.floorDebts, getFloorDemands(state), getUsableSlots(state));
	if (disabledMechanisms.has('fairness')) {
		return {floorsDue, getLead: () => 0};
	}

	const leads = new Map([...getCustomers(waiting)].map(([rank, customers]) => [rank, getLeads(state.fairShares, rank, customers)]));
	return {floorsDue, getLead: (rank, customer) => leads.get(rank)?.get(customer) ?? 0};
};

const getCustomers = (waiting: Iterable<TrackedTicket>): Map<Rank, Set<CustomerId>> => {
	const customers = new Map<Rank, Set<CustomerId>>();
	for (const {ticket} of waiting) {
		const known = customers.get(ticket.rank) ?? new Set();
		known.add(ticket.customer);
		customers.set(ticket.rank, known);
	}

	return customers;
};
