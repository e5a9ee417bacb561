import type {Milliseconds, Rank} from '@gentianlift/types';

/** How long a floor may be owed while a higher tier waits, so that short bursts from above lose nothing to floors. */
export const floorGrace: Milliseconds = 5000;

/** How much service beyond its floor, or short of it, a tier is remembered for. */
export const floorWindow: Milliseconds = 30_000;

/** What a tier has and wants of a group. */
export type FloorDemand = {
	rank: Rank;
	/** Least share of the group's slots while the tier waits, from 0 to 1. */
	floor: number;
	/** Slots that the tier has now. */
	running: number;
	waiting: boolean;
};

/** Service owed to each rank, in slot-milliseconds; negative once it had more than its floor. */
export type FloorDebts = ReadonlyMap<Rank, number>;

/** Applies elapsed time to what is owed. Only a tier that waits is owed more. */
export const applyFloorTime = (debts: FloorDebts, demands: readonly FloorDemand[], slots: number, elapsed: Milliseconds): FloorDebts =>
	new Map(demands.map(demand => [demand.rank, getDebt(debts.get(demand.rank) ?? 0, demand, slots, elapsed)]));

/**
 * Gets the ranks whose floor is due, the most owed for its floor first. At any moment all floors together take at most
 * `getFloorSlots` slots ahead of a higher tier, and a rank's own floor at most its share rounded up.
 */
export const getFloorsDue = (debts: FloorDebts, demands: readonly FloorDemand[], slots: number): Rank[] => {
	const used = demands.reduce((sum, demand) => sum + Math.min(demand.running, Math.ceil(demand.floor * slots)), 0);
	if (used >= getFloorSlots(demands, slots)) {
		return [];
	}

	const due = demands.filter(demand => isDue(debts, demand, slots));
	const getOwed = ({rank, floor}: FloorDemand): number => (debts.get(rank) ?? 0) / floor;
	return due.toSorted((first, second) => getOwed(second) - getOwed(first)).map(({rank}) => rank);
};

/** Gets the most slots that floors of the lower tiers take together ahead of higher ones. */
export const getFloorSlots = (demands: readonly FloorDemand[], slots: number): number => {
	const share = demands.reduce((sum, {floor}) => sum + floor, 0);
	return Math.ceil(share * slots);
};

const isDue = (debts: FloorDebts, {rank, floor, running, waiting}: FloorDemand, slots: number): boolean =>
	waiting
	&& floor > 0
	&& running < Math.ceil(floor * slots)
	&& (debts.get(rank) ?? 0) >= floor * slots * floorGrace;

const getDebt = (debt: number, {floor, running, waiting}: FloorDemand, slots: number, elapsed: Milliseconds): number => {
	const owed = ((floor * slots) - running) * elapsed;
	const next = waiting ? debt + owed : Math.min(debt, debt + owed, 0);
	const bound = floor * slots * floorWindow;
	return Math.max(-bound, Math.min(bound, next));
};
