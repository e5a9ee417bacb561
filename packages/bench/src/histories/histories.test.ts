import {expect, test} from 'vitest';
import {addCounts, checkHistory, checkMixedHistory} from './checker.js';
import {runSchedule} from './schedule.js';
import type {SeededFault} from './world.js';

const run = async (count: number, fault?: SeededFault) => {
	const counts = [];
	for (let seed = 1; seed <= count; seed++) {
		// eslint-disable-next-line no-await-in-loop -- Schedules run one after another.
		counts.push(checkHistory(await runSchedule(seed, fault)));
	}

	return addCounts(counts);
};

const getBroken = async (count: number, fault?: SeededFault): Promise<string[]> => {
	const counts = await run(count, fault);
	return counts.filter(({violations}) => violations.length > 0).map(({name}) => name);
};

test('40 schedules keep every promise', async () => {
	const counts = await run(40);
	expect(counts.flatMap(({violations}) => violations)).toEqual([]);
	expect(counts.every(({checked}) => checked > 100)).toBe(true);
});

test('the same seed gives the same history', async () => {
	expect(await runSchedule(3)).toEqual(await runSchedule(3));
});

test('finds writes without compare', async () => {
	expect(await getBroken(10, 'write-without-compare')).toContain('a stored outcome never changes');
});

test('finds a start after an unknown write', async () => {
	expect(await getBroken(10, 'unknown-as-applied')).toContain('a claim is stored before its request runs');
});

test('finds a cut that is told as not run', async () => {
	expect(await getBroken(10, 'cut-as-not-run')).toEqual(expect.arrayContaining([
		'a booking runs at most once', 'what was told not run did not run',
	]));
});

test('finds a gap, a repeat and an answer of another', () => {
	const check = (text: string, isWhole: boolean) => checkMixedHistory({
		events: [{
			kind: 'answered', at: 0, request: 'a.1.1', isWhole, text, expected: 'one two three',
		}], writes: [], settled: [],
	}).at(-1)?.violations.length;
	expect([check('one two three', true), check('one two', false)]).toEqual([0, 0]);
	expect([check('one three', true), check('one one', false), check('four', false), check('one two', true)]).toEqual([1, 1, 1, 1]);
});
