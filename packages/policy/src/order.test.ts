import fc from 'fast-check';
import {expect, test} from 'vitest';
import type {Ticket} from '@gentianlift/types';
import {
	updateFloorDebts, chargeService, advanceVirtualTime, compareQueued, createFairShares, type FloorDebts, type FloorDemand, findFirst, getFloorsDue, getFloorSlots,
	getLeads, getServiceOrder, getVirtualTime, type Precedence, type QueuedTicket,
} from './index.js';

const createTicket = (change: Partial<Ticket>): Ticket => ({
	request: 'r', attempt: 1, customer: 'c', weight: 1, className: 'k', rank: 0, slack: 0, waited: 0, expectedTokens: 0, promptTokens: 0,
	needs: [], prefix: [], avoid: [], isolated: false, idempotent: true, fingerprint: '', ...change,
});

const ticketsArbitrary = fc.array(fc.record({rank: fc.nat(3), customer: fc.constantFrom('a', 'b', 'c'), deadline: fc.nat(100)}), {minLength: 1, maxLength: 20})
	.map(items => items.map(({rank, customer, deadline}, sequence): QueuedTicket => ({
		ticket: createTicket({request: `r${sequence}`, rank, customer}), deadline, since: 0, sequence,
	})));

const precedenceArbitrary: fc.Arbitrary<Precedence> = fc.record({floors: fc.subarray([1, 2, 3]), leads: fc.array(fc.double({min: 0, max: 5, noNaN: true}), {minLength: 3, maxLength: 3})})
	.map(({floors, leads}) => ({floorsDue: floors, getLead: (_rank, customer) => leads['abc'.indexOf(customer)] ?? 0}));

test('serves the highest rank first unless the floor of a lower one is due', () => {
	fc.assert(fc.property(ticketsArbitrary, precedenceArbitrary, (tickets, precedence) => {
		const first = findFirst(tickets, precedence, () => true)!;
		const higher = tickets.filter(({ticket}) => ticket.rank < first.ticket.rank);
		expect(higher.length === 0 || precedence.floorsDue.includes(first.ticket.rank)).toBe(true);
	}), {seed: 1});
});

test('the service order contains every ticket and starts with the first one', () => {
	fc.assert(fc.property(ticketsArbitrary, precedenceArbitrary, (tickets, precedence) => {
		const order = getServiceOrder(tickets, precedence, () => 1);
		expect(new Set(order)).toEqual(new Set(tickets));
		expect(order[0]).toBe(findFirst(tickets, precedence, () => true));
		for (const item of tickets) {
			expect(compareQueued(item, order[0]!, precedence)).toBeGreaterThanOrEqual(0);
		}
	}), {seed: 1});
});

test('tickets of lower ranks do not change the order of higher ranks', () => {
	fc.assert(fc.property(ticketsArbitrary, precedenceArbitrary, (tickets, precedence) => {
		const upper = tickets.filter(({ticket}) => ticket.rank < 2);
		const order = getServiceOrder(tickets, precedence, () => 1).filter(({ticket}) => ticket.rank < 2);
		expect(order).toEqual(getServiceOrder(upper, precedence, () => 1));
	}), {seed: 1});
});

/** Simulates unlimited demand of all ranks, with one request of `serviceTime` at a time in each slot, and returns each rank's share of the slots and the maximum number of slots that lower tiers had. */
const simulateScheduling = (floors: readonly number[], slots: number, serviceTime: number): {shares: number[]; maxLowerTierSlots: number} => {
	const running = floors.map((): number[] => []);
	const service = floors.map(() => 0);
	let debts: FloorDebts = new Map();
	let maxLowerTierSlots = 0;
	for (let now = 0; now < 600_000; now += 100) {
		const getDemands = (): FloorDemand[] => floors.map((floor, rank) => ({
			rank, floor: rank === 0 ? 0 : floor, running: running[rank]!.length, waiting: true,
		}));
		debts = updateFloorDebts(debts, getDemands(), slots, 100);
		for (const [rank, ends] of running.entries()) {
			running[rank] = ends.filter(end => end > now);
		}

		while (running.flat().length < slots) {
			const due = getFloorsDue(debts, getDemands(), slots);
			const rank = due[0] ?? 0;
			running[rank]!.push(now + serviceTime);
			service[rank]! += serviceTime;
		}

		maxLowerTierSlots = Math.max(maxLowerTierSlots, running.slice(1).flat().length);
	}

	return {shares: service.map(value => value / slots / 600_000), maxLowerTierSlots};
};

test('tiers get their floors under unlimited load, and no more slots than their floors', () => {
	fc.assert(fc.property(
		fc.array(fc.double({min: 0.02, max: 0.15, noNaN: true}), {minLength: 1, maxLength: 3}),
		fc.integer({min: 2, max: 64}),
		fc.integer({min: 2, max: 80}).map(steps => steps * 100),
		(lower, slots, serviceTime) => {
			const floors = [0, ...lower];
			const {shares, maxLowerTierSlots} = simulateScheduling(floors, slots, serviceTime);
			const demands = floors.map((floor, rank): FloorDemand => ({
				rank, floor, running: 0, waiting: true,
			}));
			expect(maxLowerTierSlots).toBeLessThanOrEqual(getFloorSlots(demands, slots));
			for (const [rank, floor] of lower.entries()) {
				expect(shares[rank + 1]).toBeGreaterThan(floor * 0.85);
			}
		},
	), {seed: 1, numRuns: 30, examples: [[[0.0909, 0.0601], 11, 200]]});
});

test('a floor is not due before its grace period, nor for a tier without waiting tickets', () => {
	fc.assert(fc.property(fc.integer({min: 1, max: 4999}), fc.boolean(), (elapsed, waiting) => {
		const demand: FloorDemand = {
			rank: 1, floor: 0.1, running: 0, waiting,
		};
		const debts = updateFloorDebts(new Map(), [demand], 10, waiting ? elapsed : elapsed * 100);
		expect(getFloorsDue(debts, [demand], 10)).toEqual([]);
	}), {seed: 1});
});

test('customers get service in proportion to their weight, whatever their requests cost', () => {
	fc.assert(fc.property(
		fc.array(fc.record({weight: fc.integer({min: 1, max: 5}), cost: fc.integer({min: 50, max: 3000})}), {minLength: 2, maxLength: 5}),
		items => {
			const shares = createFairShares();
			const service = items.map(() => 0);
			const customers = items.map((_, index) => String(index));
			for (let turn = 0; turn < 4000; turn++) {
				const leads = getLeads(shares, 0, new Set(customers));
				const customer = customers.toSorted((first, second) => leads.get(first)! - leads.get(second)!)[0]!;
				const {weight, cost} = items[Number(customer)]!;
				advanceVirtualTime(shares, 0, customer);
				chargeService(shares, 0, {customer, weight, service: cost});
				service[Number(customer)]! += cost;
			}

			const weightedService = service.map((value, index) => value / items[index]!.weight);
			expect(Math.max(...weightedService) - Math.min(...weightedService)).toBeLessThan(6000);
		},
	), {seed: 1, numRuns: 30});
});

test('an idle customer accumulates no credit', () => {
	const shares = createFairShares();
	for (let turn = 0; turn < 100; turn++) {
		advanceVirtualTime(shares, 0, 'busy');
		chargeService(shares, 0, {customer: 'busy', weight: 1, service: 1000});
	}

	expect(getVirtualTime(shares, 0, 'back')).toBeGreaterThan(98_000);
});
