import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Source of random numbers, seeded so that runs repeat. */
export type Random = {
	/** A number from 0 up to, but not including, 1. */
	next: () => number;
	/** A whole number from 0 up to, but not including, `bound`. */
	below: (bound: number) => number;
	/** One of the items; undefined if there are none. */
	pick: <Item>(items: readonly Item[]) => Item | undefined;
};

const range = 2 ** 32;
const signedOffset = 2 ** 31;

/** Creates a source of random numbers from a seed. */
export const createRandom = (seed: number): Random => {
	const generator = xoroshiro128plus(seed);
	const next = (): number => (generator.next() + signedOffset) / range;
	const below = (bound: number): number => Math.floor(next() * bound);
	return {
		next,
		below,
		pick: items => items[below(items.length)],
	};
};
