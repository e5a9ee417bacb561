import {expect, test} from 'vitest';
import {createManualClock, startTimeLimit} from './index.js';

const startLimit = (limit: number) => {
	const clock = createManualClock();
	const passedAt: number[] = [];
	const cancel = startTimeLimit(clock, limit, () => {
		passedAt.push(clock.monotonic());
	});
	return {clock, passedAt, cancel};
};

test('a time limit passes once', async () => {
	const {clock, passedAt} = startLimit(300);
	await clock.advance(1000);
	expect(passedAt).toEqual([300]);
});

// Guards against: a host that was suspended takes messages that it has not read yet for missing ones.
test('a time limit that passes while the process is suspended leaves time to read what has arrived', async () => {
	const {clock, passedAt} = startLimit(300);
	clock.pause(2000);
	await clock.advance(0);
	expect(passedAt).toEqual([]);
	await clock.advance(1000);
	expect(passedAt).toEqual([2100]);
});

test('a cancelled time limit does not pass, nor does one that is cancelled after a suspension', async () => {
	const early = startLimit(300);
	early.cancel();
	await early.clock.advance(1000);
	expect(early.passedAt).toEqual([]);
	const late = startLimit(300);
	late.clock.pause(2000);
	await late.clock.advance(0);
	late.cancel();
	await late.clock.advance(1000);
	expect(late.passedAt).toEqual([]);
});
