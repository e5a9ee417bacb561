import {createManualClock} from '@gentianlift/clock';
import {expect, test} from 'vitest';
import {watchSilence} from './watch-silence.js';

/** Watches a source whose last message arrived at `lastMessageAt`; returns when it was found silent. */
const startWatch = () => {
	const clock = createManualClock();
	const source = {lastMessageAt: 0};
	const silentAt: number[] = [];
	watchSilence(clock, {
		getSilence: () => clock.monotonic() - source.lastMessageAt,
		maxSilence: 1000,
		onSilent() {
			silentAt.push(clock.monotonic());
		},
	});
	return {clock, source, silentAt};
};

test('a source is silent once its longest silence has passed', async () => {
	const {clock, silentAt} = startWatch();
	await clock.advance(1200);
	expect(silentAt).toEqual([1200]);
});

// Guards against: a host that was suspended cancels its streams, whose events it has not read yet.
test('a suspension of this process is not taken for the silence of the source', async () => {
	const {clock, source, silentAt} = startWatch();
	clock.pause(5000);
	await clock.advance(0);
	source.lastMessageAt = clock.monotonic();
	await clock.advance(1000);
	expect(silentAt).toEqual([]);
});
