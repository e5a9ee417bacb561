import {
	type FloorDemand, getFloorsDue, getLeads, type Precedence,
} from '@gentianlift/policy';
import type {CustomerId, Rank} from '@gentianlift/types';
import {type Entry, getSlots, type GroupState} from '../state.js';

/** Gets what each tier has and wants of a group. */
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
		// The highest tier has nothing above it to be kept from.
		floor: rank === 0 ? 0 : floor,
		running: running.get(rank) ?? 0,
		waiting: waiting.has(rank),
	}));
};

/** Gets what the order of a group's waiting entries depends on. */
export const getPrecedence = (state: GroupState, waiting: Iterable<Entry>): Precedence => {
	const {without} = state.context;
	const floorsDue = without.has('floor') ? [] : getFloorsDue(state.floorDebts, getFloorDemands(state), getSlots(state));
	if (without.has('fairness')) {
		return {floorsDue, getLead: () => 0};
	}

	const leads = new Map([...getCustomers(waiting)].map(([rank, customers]) => [rank, getLeads(state.shares, rank, customers)]));
	return {floorsDue, getLead: (rank, customer) => leads.get(rank)?.get(customer) ?? 0};
};

const getCustomers = (waiting: Iterable<Entry>): Map<Rank, Set<CustomerId>> => {
	const customers = new Map<Rank, Set<CustomerId>>();
	for (const {ticket} of waiting) {
		const known = customers.get(ticket.rank) ?? new Set();
		known.add(ticket.customer);
		customers.set(ticket.rank, known);
	}

	return customers;
};
