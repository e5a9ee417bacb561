import {createManualClock} from '@gentianlift/clock';
import {createSilentLogger} from '@gentianlift/logger';
import {createMetrics} from '@gentianlift/metrics';
import {expect, test} from 'vitest';
import {startProcess} from './start-process.js';

/** Time in which a process must have ended whose start has failed, in milliseconds. */
const endLimit = 10_000;

// Guards against: a process whose start has failed goes on without a listener as long as requests come on the connections that it has.
test.fails('a process whose start has failed ends although requests go on to come', async () => {
	const clock = createManualClock();
	const ends: number[] = [];
	void startProcess({
		clock,
		logger: createSilentLogger(),
		metrics: createMetrics(),
		output: {write: () => undefined, flush: async () => undefined},
		async open() {
			throw new Error('the address is invalid');
		},
		countOpenRequests: () => 1,
		closeListener: () => undefined,
		exit(status) {
			ends.push(status);
		},
	});
	await clock.advance(endLimit);
	expect(ends.slice(0, 1)).toEqual([1]);
});
