import type {Milliseconds, Rank} from '@gentianlift/types';

/** Time for which a tier's floor may remain unmet while a higher tier waits, so that floors don't delay short bursts of higher tiers. */
export const floorGracePeriod: Milliseconds = 5000;

/** Maximum surplus or deficit of a floor's service, expressed as time at the full floor. */
export const floorDebtWindow: Milliseconds = 30_000;

/** The use of a group's slots by a tier and its guaranteed minimum. */
export type FloorDemand = {
	rank: Rank;
	/** Guaranteed minimum fraction of the group's slots while the tier has waiting tickets, from 0 to 1. */
	floor: number;
	/** Slots that the tier uses now. */
	running: number;
	/** Whether the tier has waiting tickets. */
	waiting: boolean;
};

/** Service that is owed to each rank, in slot-milliseconds; negative if it had more than its floor. */
export type FloorDebts = ReadonlyMap<Rank, number>;

/** Updates the debts after `elapsed` time. Debts grow only for tiers with waiting tickets. */
export const updateFloorDebts = (debts: FloorDebts, demands: readonly FloorDemand[], slots: number, elapsed: Milliseconds): FloorDebts =>
	new Map(demands.map(demand => [demand.rank, updateDebt(debts.get(demand.rank) ?? 0, demand, slots, elapsed)]));

/**
 * Returns the ranks whose floor is due, the largest debt in relation to the floor first. At any time all floors together
 * take at most `getFloorSlots` slots ahead of higher tiers, and each floor at most its fraction of the slots rounded up.
 */
export const getFloorsDue = (debts: FloorDebts, demands: readonly FloorDemand[], slots: number): Rank[] => {
	const usedSlots = demands.reduce((sum, demand) => sum + Math.min(demand.running, Math.ceil(demand.floor * slots)), 0);
	if (usedSlots >= getFloorSlots(demands, slots)) {
		return [];
	}

	const due = demands.filter(demand => isDue(debts, demand, slots));
	const getRelativeDebt = ({rank, floor}: FloorDemand): number => (debts.get(rank) ?? 0) / floor;
	return due.toSorted((first, second) => getRelativeDebt(second) - getRelativeDebt(first)).map(({rank}) => rank);
};

/** Returns the maximum number of slots that the floors of lower tiers together take ahead of higher tiers. */
export const getFloorSlots = (demands: readonly FloorDemand[], slots: number): number => {
	const totalFloor = demands.reduce((sum, {floor}) => sum + floor, 0);
	return Math.ceil(totalFloor * slots);
};

const isDue = (debts: FloorDebts, {rank, floor, running, waiting}: FloorDemand, slots: number): boolean =>
	waiting
	&& floor > 0
	&& running < Math.ceil(floor * slots)
	&& (debts.get(rank) ?? 0) >= floor * slots * floorGracePeriod;

const updateDebt = (debt: number, {floor, running, waiting}: FloorDemand, slots: number, elapsed: Milliseconds): number => {
	const accrued = ((floor * slots) - running) * elapsed;
	const next = waiting ? debt + accrued : Math.min(debt, debt + accrued, 0);
	const maxDebt = floor * slots * floorDebtWindow;
	return Math.max(-maxDebt, Math.min(maxDebt, next));
};
