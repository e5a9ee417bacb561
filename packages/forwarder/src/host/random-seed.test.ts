import {createRandom} from '@gentianlift/clock';
import {expect, test} from 'vitest';
import {getRandomSeed} from './random-seed.js';

const startedAt = 1_796_337_534_350;

const drawFirst = (host: string): number => createRandom(getRandomSeed(host, startedAt)).next();

// All hosts that started in the same millisecond drew the same random numbers, so that they broke ties for the same upstream.
test('hosts that start in the same millisecond draw evenly spread random numbers', () => {
	const draws = Array.from({length: 100}, (_, index) => drawFirst(`edge-a-${index}`)).toSorted((one, other) => one - other);
	const gaps = draws.map((draw, index) => draw - (draws[index - 1] ?? 0));
	expect(new Set(draws).size).toBe(100);
	expect(Math.max(...gaps)).toBeLessThan(0.12);
});
