import {setTimeout as sleep} from 'node:timers/promises';
import {expect, test} from 'vitest';
import {createFreshReads} from './fresh-reads.js';

// Guards against: a read that had begun before the question passes for an answer to it.
test('who asks during a read gets the result of the next one, with all others who ask then', async () => {
	let begun = 0;
	const read = createFreshReads(async () => {
		begun += 1;
		const own = begun;
		await sleep(5);
		return own;
	});
	const first = read();
	const others = [read(), read()];
	expect(await Promise.all([first, ...others])).toEqual([1, 2, 2]);
	expect(await read()).toBe(3);
});

test('a read that fails costs those who share it only', async () => {
	let isFailing = true;
	const read = createFreshReads(async () => {
		await sleep(5);
		if (isFailing) {
			isFailing = false;
			throw new Error('test');
		}

		return 'read';
	});
	const first = read();
	const second = read();
	await expect(first).rejects.toThrow('test');
	expect(await second).toBe('read');
});
