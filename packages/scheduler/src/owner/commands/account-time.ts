import {updateFloorDebts} from '@gentianlift/policy';
import type {Milliseconds} from '@gentianlift/types';
import {getFloorDemands} from '../queries/precedence.js';
import {getUsableSlots, type GroupState} from '../state.js';

/** Time constant of the moving average of each tier's utilization. */
const utilizationWindow: Milliseconds = 3000;

/** Adds the time since the last call to the debts of floors and to the utilization by rank. */
export const accountElapsedTime = (state: GroupState): void => {
	const now = state.context.clock.monotonic();
	const elapsed = now - state.accountedUntil;
	if (elapsed <= 0) {
		return;
	}

	const slots = getUsableSlots(state);
	const demands = getFloorDemands(state);
	const smoothing = 1 - Math.exp(-elapsed / utilizationWindow);
	state.floorDebts = updateFloorDebts(state.floorDebts, demands, slots, elapsed);
	state.rankUtilization = new Map(demands.map(({rank, running}) => {
		const previous = state.rankUtilization.get(rank) ?? 0;
		return [rank, previous + (smoothing * ((running / slots) - previous))];
	}));
	state.accountedUntil = now;
};
