import {createRandom} from '@gentianlift/clock';
import type {Milliseconds} from '@gentianlift/types';
import {expect, test} from 'vitest';
import {
	drawRetryAfter, isLastingMiss, isMissed, startMissBalance, updateMissBalance, type MissBalance,
} from './early-refusal.js';
import {defaultPrefillRate} from './prefill-rate.js';

// A host without samples assumes the default rate; engines of 56.6 tokens per millisecond are in use.
test('a prefill rate that is assumed too low doesn\'t make a call count as missed', () => {
	const trueRate = 56.6;
	const remaining = 2000;
	const tokensInTime = remaining * trueRate;
	expect(isMissed(tokensInTime / defaultPrefillRate, remaining)).toBe(false);
	expect(isMissed(2 * remaining, remaining)).toBe(true);
});

const runPasses = (misses: readonly boolean[], interval: Milliseconds): MissBalance => {
	let balance = startMissBalance(0, createRandom(1));
	for (const [index, hasMissed] of misses.entries()) {
		balance = updateMissBalance(balance, hasMissed, (index + 1) * interval);
	}

	return balance;
};

const repeat = (count: number, ...misses: boolean[]): boolean[] => Array.from({length: count}, () => misses).flat();

test('a miss has to last for 100 to 200 milliseconds', () => {
	expect(isLastingMiss(runPasses(repeat(6, true), 15), 2000)).toBe(false);
	expect(isLastingMiss(runPasses(repeat(14, true), 15), 2000)).toBe(true);
});

test('passes without a miss count against a miss', () => {
	expect(isLastingMiss(runPasses(repeat(100, true, false), 15), 2000)).toBe(false);
	expect(isLastingMiss(runPasses(repeat(100, true, true, false), 15), 2000)).toBe(true);
});

test('time for which the process was suspended doesn\'t make a miss last', () => {
	expect(isLastingMiss(runPasses([true], 5000), 2000)).toBe(false);
});

test('with little time left a miss has to last for half of it at most', () => {
	expect(isLastingMiss(runPasses(repeat(2, true), 15), 60)).toBe(true);
});

test('retry delays are at least 250 milliseconds, and at most a third of the time left', () => {
	const random = createRandom(1);
	for (const expected of [100, 2000, 8000, 60_000]) {
		for (const remainingUntilDeadline of [0, 300, 900, 3000, 12_000]) {
			const delay = drawRetryAfter({expected, patience: 2000, remainingUntilDeadline}, random);
			expect(delay).toBeLessThanOrEqual(remainingUntilDeadline / 3);
			expect(delay).toBeGreaterThanOrEqual(Math.min(250, Math.floor(remainingUntilDeadline * 2 / 9)));
		}
	}
});

test('a caller returns when a new call would be served', () => {
	const delay = drawRetryAfter({expected: 3000, patience: 2000, remainingUntilDeadline: 12_000}, createRandom(1));
	// After 2 s the expected time is down to half of what the caller waits for.
	expect(delay).toBeGreaterThanOrEqual(2000);
	expect(delay).toBeLessThanOrEqual(3000);
});

// Callers that are refused by all hosts in the same moment must not return in the same moment.
test('retry delays for the same inputs are spread, also at their upper bound', () => {
	const random = createRandom(1);
	for (const expected of [3000, 60_000]) {
		const delays = Array.from({length: 50}, () => drawRetryAfter({expected, patience: 2000, remainingUntilDeadline: 9000}, random));
		expect(Math.max(...delays) - Math.min(...delays)).toBeGreaterThan(500);
	}
});
