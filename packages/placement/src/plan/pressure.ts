import type {Milliseconds, ModelName} from '@gentianlift/types';
import type {Pressure} from './types.js';

const getSince = (known: ReadonlyMap<ModelName, Milliseconds>, names: ModelName[], now: Milliseconds): Map<ModelName, Milliseconds> =>
	new Map(names.map(name => [name, known.get(name) ?? now]));

/** Gets the pressure with the names that are short or idle now; a name that isn't starts anew. */
export const getPressure = (last: Pressure, now: Milliseconds, names: {short: ModelName[]; idle: ModelName[]}): Pressure => ({
	...last,
	shortSince: getSince(last.shortSince, names.short, now),
	idleSince: getSince(last.idleSince, names.idle, now),
});

/** Whether a condition has lasted. */
export const hasLasted = (since: Milliseconds | undefined, now: Milliseconds, duration: Milliseconds): boolean =>
	since !== undefined && now - since >= duration;
