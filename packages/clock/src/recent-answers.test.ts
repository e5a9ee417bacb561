import {expect, test} from 'vitest';
import {createManualClock, createRecentAnswers} from './index.js';

test('an answer is reused for its lifetime, from when it was asked for, and by the same question only', async () => {
	const clock = createManualClock();
	const answers = createRecentAnswers<number>(clock, 100);
	let count = 0;
	const ask = async (question: string): Promise<number> => answers.get(question, async () => {
		count += 1;
		return count;
	});
	expect(await Promise.all([ask('a'), ask('a'), ask('b')])).toEqual([1, 1, 2]);
	await clock.advance(99);
	expect(await ask('a')).toBe(1);
	await clock.advance(1);
	expect(await ask('a')).toBe(3);
});
