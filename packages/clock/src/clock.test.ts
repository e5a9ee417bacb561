import {expect, test} from 'vitest';
import {createManualClock, createRandom} from './index.js';

test('runs timers in order of their due time', async () => {
	const clock = createManualClock();
	const fired: string[] = [];
	clock.after(20, () => {
		fired.push('b');
	});
	clock.after(10, () => {
		fired.push('a');
	});
	await clock.advance(20);
	expect(fired).toEqual(['a', 'b']);
});

test('timers that fall due during a pause fire late', async () => {
	const clock = createManualClock();
	const firedAt: number[] = [];
	clock.after(10, () => {
		firedAt.push(clock.now());
	});
	clock.pause(50);
	await clock.advance(0);
	expect(firedAt).toEqual([50]);
});

test('the same seed yields the same numbers, another seed others', () => {
	const drawNumbers = (seed: number) => Array.from({length: 3}, createRandom(seed).next);
	expect(drawNumbers(1)).toEqual(drawNumbers(1));
	expect(drawNumbers(1)).not.toEqual(drawNumbers(2));
});
