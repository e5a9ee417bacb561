import {createManualClock} from '@gentianlift/clock';
import {createSilentLogger} from '@gentianlift/logger';
import {createMetrics} from '@gentianlift/metrics';
import {expect, test} from 'vitest';
import {startProcess} from './start-process.js';

const gracePeriod = 2000;

const beginStart = (open: () => Promise<void>) => {
	const clock = createManualClock();
	const state = {open: 1, steps: [] as string[]};
	void startProcess({
		clock,
		logger: createSilentLogger(),
		output: {write: () => undefined, flush: async () => undefined},
		metrics: createMetrics(),
		open,
		async stop() {
			state.steps.push('stop');
		},
		getGracePeriod: () => gracePeriod,
		countPendingAnswers: () => state.open,
		closeListener() {
			state.steps.push('close');
		},
		exit(status) {
			state.steps.push(`status ${status}`);
		},
	});
	return {clock, state};
};

test('a process that has opened its host goes on', async () => {
	const {clock, state} = beginStart(async () => undefined);
	await clock.advance(1000);
	expect(state.steps).toEqual([]);
});

// Guards against: a start that fails ends the process over requests that the listeners opened before have taken.
test('a process whose start fails stops its host and answers what is open before it exits', async () => {
	const {clock, state} = beginStart(async () => {
		throw new Error('forbidden address');
	});
	await clock.advance(1000);
	expect(state.steps).toEqual(['stop', 'close']);
	state.open = 0;
	await clock.advance(10);
	expect(state.steps).toEqual(['stop', 'close', 'status 1']);
});

// Guards against: a process whose start has failed goes on without a listener as long as requests come on the connections that it has.
test('a process whose start has failed ends although a request stays open', async () => {
	const {clock, state} = beginStart(async () => {
		throw new Error('forbidden address');
	});
	await clock.advance(gracePeriod);
	expect(state.steps).toEqual(['stop', 'close', 'status 1']);
});
