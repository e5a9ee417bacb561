import type {Milliseconds, ModelName} from '@gentianlift/types';
import type {PlanHistory} from './types.js';

const updateSince = (known: ReadonlyMap<ModelName, Milliseconds>, names: ModelName[], now: Milliseconds): Map<ModelName, Milliseconds> =>
	new Map(names.map(name => [name, known.get(name) ?? now]));

/** Returns the history updated with the names that are scarce or idle now. Names that no longer are lose their start time. */
export const updatePlanHistory = (previous: PlanHistory, now: Milliseconds, names: {scarce: ModelName[]; idle: ModelName[]}): PlanHistory => ({
	...previous,
	scarceSince: updateSince(previous.scarceSince, names.scarce, now),
	idleSince: updateSince(previous.idleSince, names.idle, now),
});

/** Whether a condition that began at `since` has lasted for `duration`; false if it isn't present. */
export const hasLasted = (since: Milliseconds | undefined, now: Milliseconds, duration: Milliseconds): boolean =>
	since !== undefined && now - since >= duration;
