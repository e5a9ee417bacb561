import {expect, test} from 'vitest';
import {createRandom} from './random.js';

test('a sample has no repetitions, and all items if there are too few', () => {
	const random = createRandom(1);
	const items = [1, 2, 3, 4, 5];
	for (let round = 0; round < 20; round++) {
		const sample = random.sample(items, 3);
		expect(new Set(sample).size).toBe(3);
		expect(sample.every(item => items.includes(item))).toBe(true);
	}

	expect(new Set(random.sample(items, 9))).toEqual(new Set(items));
	expect(random.sample([], 2)).toEqual([]);
});
