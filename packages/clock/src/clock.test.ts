import {expect, test} from 'vitest';
import {createManualClock, createRandom} from './index.js';

test('runs timers in order of their due time', async () => {
	const clock = createManualClock();
	const seen: string[] = [];
	clock.after(20, () => {
		seen.push('b');
	});
	clock.after(10, () => {
		seen.push('a');
	});
	await clock.advance(20);
	expect(seen).toEqual(['a', 'b']);
});

test('a pause lets timers fire late', async () => {
	const clock = createManualClock();
	const seen: number[] = [];
	clock.after(10, () => {
		seen.push(clock.now());
	});
	clock.pause(50);
	await clock.advance(0);
	expect(seen).toEqual([50]);
});

test('repeats numbers of the same seed', () => {
	const numbers = (seed: number) => Array.from({length: 3}, createRandom(seed).next);
	expect(numbers(1)).toEqual(numbers(1));
	expect(numbers(1)).not.toEqual(numbers(2));
});
