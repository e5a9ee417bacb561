import {createManualClock} from '@gentianlift/clock';
import {createSilentLogger} from '@gentianlift/logger';
import {expect, test} from 'vitest';
import {createStopHandler, type ProcessEndOptions} from './stop-process.js';

const gracePeriod = 2000;

const createProcess = (options: Partial<Pick<ProcessEndOptions, 'stop' | 'output' | 'kill'>>) => {
	const clock = createManualClock();
	const state = {
		gracePeriod, open: 0, stops: 0, ends: [] as string[],
	};
	const stop = createStopHandler({
		clock,
		logger: createSilentLogger(),
		output: {
			write: () => undefined,
			flush: async () => undefined,
		},
		getGracePeriod: () => state.gracePeriod,
		countPendingAnswers: () => state.open,
		closeListener: () => undefined,
		reportOpenCalls() {
			state.ends.push(`report at ${clock.monotonic()}`);
		},
		async stop() {
			state.stops += 1;
		},
		exit(status) {
			state.ends.push(`status ${status} at ${clock.monotonic()}`);
		},
		kill() {
			state.ends.push(`kill at ${clock.monotonic()}`);
		},
		...options,
	});
	return {clock, state, stop};
};

const hang = async (): Promise<void> => new Promise(() => {
	// Never resolves.
});

test('a process exits when its host has stopped, and stops it once', async () => {
	const {clock, state, stop} = createProcess({});
	stop('SIGTERM');
	stop('SIGTERM');
	await clock.advance(100);
	expect(state).toMatchObject({stops: 1, ends: ['status 0 at 0']});
});

// Guards against: the process stays, with its addresses, as nobody reads its last log lines.
test('a process exits although its output is not read', async () => {
	const {clock, state, stop} = createProcess({output: {write: () => undefined, flush: hang}});
	stop('SIGTERM');
	await clock.advance(100);
	expect(state.ends).toEqual(['status 0 at 50']);
});

// Guards against: a process ends over requests that came while its last log lines were written.
test('a process exits only once no request is open', async () => {
	let flushes = 0;
	const {clock, state, stop} = createProcess({
		output: {
			write: () => undefined,
			async flush() {
				flushes += 1;
				state.open = flushes === 1 ? 1 : state.open;
			},
		},
	});
	stop('SIGTERM');
	await clock.advance(200);
	expect(state.ends).toEqual([]);
	state.open = 0;
	await clock.advance(10);
	expect(state.ends).toEqual(['status 0 at 210']);
});

// Guards against: an attempt that goes on after its caller has left holds the end of the process until it kills itself.
test('a process exits with its status although a request that was cut stays open', async () => {
	const {clock, state, stop} = createProcess({});
	state.open = 1;
	stop('SIGTERM');
	await clock.advance(gracePeriod);
	expect(state.ends[0]).toMatch(/^status 0/v);
});

// Guards against: an error in the shutdown prevents the exit.
test('a process exits with status 1 if the shutdown fails', async () => {
	const {clock, state, stop} = createProcess({
		async stop() {
			throw new Error('broken');
		},
	});
	stop('SIGTERM');
	await clock.advance(100);
	expect(state.ends).toEqual(['status 1 at 0']);
});

// Guards against: a shutdown that waits for something for ever keeps the process, or ends it without a word of the calls that it has.
test('a process whose shutdown hangs ends within the grace period, also if that is shortened', async () => {
	const {clock, state, stop} = createProcess({stop: hang});
	stop('SIGTERM');
	await clock.advance(500);
	state.gracePeriod = 1000;
	await clock.advance(600);
	expect(state.ends[0]).toMatch(/^report at 9[23]\d$/v);
	expect(state.ends[1]).toMatch(/^kill at 9[789]\d$/v);
});

// Guards against: a process that was suspended over the end of its grace period kills itself before the timers that have waited answer what is open.
test('an overdue process handles what has waited before it kills itself', async () => {
	const ends: string[] = [];
	const {clock, stop} = createProcess({
		async stop() {
			await clock.sleep(500);
			ends.push('answered');
			await hang();
		},
		kill() {
			ends.push('killed');
		},
	});
	stop('SIGTERM');
	clock.pause(2 * gracePeriod);
	await clock.advance(100);
	expect(ends).toEqual(['answered', 'killed']);
});
