import {expect, test} from 'vitest';
import {mergeResults, checkHistory, checkMixedHistory} from './checker.js';
import {runSchedule} from './schedule.js';
import type {SeededFault} from './simulation.js';

const runSchedules = async (count: number, fault?: SeededFault) => {
	const results = [];
	for (let seed = 1; seed <= count; seed++) {
		// eslint-disable-next-line no-await-in-loop -- Schedules run one after another.
		results.push(checkHistory(await runSchedule(seed, fault)));
	}

	return mergeResults(results);
};

const getViolatedGuarantees = async (count: number, fault?: SeededFault): Promise<string[]> => {
	const results = await runSchedules(count, fault);
	return results.filter(({violations}) => violations.length > 0).map(({name}) => name);
};

test('40 schedules violate no guarantee', async () => {
	const results = await runSchedules(40);
	expect(results.flatMap(({violations}) => violations)).toEqual([]);
	expect(results.every(({checked}) => checked > 100)).toBe(true);
});

test('the same seed gives the same history', async () => {
	expect(await runSchedule(3)).toEqual(await runSchedule(3));
});

test('detects writes that skip the revision check', async () => {
	expect(await getViolatedGuarantees(10, 'write-without-compare')).toContain('a stored outcome never changes');
});

test('detects a start after a claim write with an unknown outcome', async () => {
	expect(await getViolatedGuarantees(10, 'unknown-as-applied')).toContain('a claim is stored before its request runs');
});

test('detects an interrupted call that is reported as not run', async () => {
	expect(await getViolatedGuarantees(10, 'cut-as-not-run')).toEqual(expect.arrayContaining([
		'a booking runs at most once', 'what was told not run did not run',
	]));
});

test('detects a missing part, a repeated part and the answer of another request in a stream', () => {
	const check = (text: string, isWhole: boolean) => checkMixedHistory({
		events: [{
			kind: 'answered', at: 0, request: 'a.1.1', isWhole, text, expected: 'one two three',
		}], writes: [], expectedSettlements: [],
	}).at(-1)?.violations.length;
	expect([check('one two three', true), check('one two', false)]).toEqual([0, 0]);
	expect([check('one three', true), check('one one', false), check('four', false), check('one two', true)]).toEqual([1, 1, 1, 1]);
});
