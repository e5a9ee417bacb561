import {applyFloorTime} from '@gentianlift/policy';
import type {Milliseconds} from '@gentianlift/types';
import {getFloorDemands} from '../queries/precedence.js';
import {getSlots, type GroupState} from '../state.js';

/** Time over which the use of slots by rank is averaged. */
const useWindow: Milliseconds = 3000;

/** Counts the time since the last call into the floors' debts and the ranks' use of slots. */
export const advanceTime = (state: GroupState): void => {
	const now = state.context.clock.monotonic();
	const elapsed = now - state.countedTo;
	if (elapsed <= 0) {
		return;
	}

	const slots = getSlots(state);
	const demands = getFloorDemands(state);
	const weight = 1 - Math.exp(-elapsed / useWindow);
	state.floorDebts = applyFloorTime(state.floorDebts, demands, slots, elapsed);
	state.use = new Map(demands.map(({rank, running}) => {
		const before = state.use.get(rank) ?? 0;
		return [rank, before + (weight * ((running / slots) - before))];
	}));
	state.countedTo = now;
};
