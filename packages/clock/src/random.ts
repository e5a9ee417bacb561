import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Pseudo-random number generator; the same seed yields the same sequence, so that runs are reproducible. */
export type Random = {
	/** Returns a uniform number in [0, 1). */
	next: () => number;
	/** Returns a uniform integer in [0, `bound`). */
	nextInt: (bound: number) => number;
	/** Returns a uniformly chosen item; undefined if there are none. */
	pick: <Item>(items: readonly Item[]) => Item | undefined;
	/** Returns randomly chosen items without repetition: `count` of them, or all if there are fewer. */
	sample: <Item>(items: readonly Item[], count: number) => Item[];
};

// The generator yields signed 32-bit integers, which are shifted and scaled to [0, 1).
const uint32Range = 2 ** 32;
const int32Offset = 2 ** 31;

/** Creates a random number generator from a seed. */
export const createRandom = (seed: number): Random => {
	const generator = xoroshiro128plus(seed);
	const next = (): number => (generator.next() + int32Offset) / uint32Range;
	const nextInt = (bound: number): number => Math.floor(next() * bound);
	return {
		next,
		nextInt,
		pick: items => items[nextInt(items.length)],
		sample(items, count) {
			const remaining = [...items];
			const chosen: typeof remaining = [];
			while (chosen.length < count && remaining.length > 0) {
				chosen.push(...remaining.splice(nextInt(remaining.length), 1));
			}

			return chosen;
		},
	};
};
