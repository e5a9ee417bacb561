import {createManualClock} from '@gentianlift/clock';
import {createSilentLogger} from '@gentianlift/logger';
import {expect, test} from 'vitest';
import {canAcceptRequest, stopHost, type StopOptions} from './stop-host.js';

const gracePeriod = 8000;

const beginStop = (steps: Partial<Pick<StopOptions, 'announce' | 'answerRequests' | 'release'>> = {}) => {
	const clock = createManualClock();
	const state = {
		open: 1, gracePeriod, isStopped: false, calls: [] as string[],
	};
	const stopped = (async () => {
		await stopHost({
			clock, logger: createSilentLogger(), getGracePeriod: () => state.gracePeriod, maxAddressUse: 3000, countOpenRequests: () => state.open,
			async announce() {
				state.calls.push('announce');
			},
			answerRequests() {
				state.calls.push(`answer at ${clock.monotonic()}`);
			},
			cutRequests() {
				state.calls.push(`cut at ${clock.monotonic()}`);
			},
			async release() {
				state.calls.push('release');
			},
			endAdmission() {
				state.calls.push(`end admission at ${clock.monotonic()}`);
			},
			getTimeSinceRequest: () => undefined,
			reportOpenCalls: () => undefined,
			...steps,
		});
		state.isStopped = true;
	})();
	return {clock, state, stopped};
};

test('a stopping host serves until callers know other addresses, even without open requests', async () => {
	const {clock, state} = beginStop();
	state.open = 0;
	await clock.advance(2900);
	expect(state.calls).toEqual(['announce']);
	await clock.advance(1000);
	expect(state.isStopped).toBe(true);
	expect(state.calls.filter(call => !call.includes(' at '))).toEqual(['announce', 'release']);
});

test('a stopping host waits for open requests', async () => {
	const {clock, state} = beginStop();
	await clock.advance(6000);
	expect(state.isStopped).toBe(false);
	state.open = 0;
	await clock.advance(500);
	expect(state.isStopped).toBe(true);
});

test('a stop with an open request ends within the grace period', async () => {
	const {clock, state} = beginStop();
	await clock.advance(gracePeriod);
	expect(state.isStopped).toBe(true);
});

// Guards against: requests that are still open at the end of the grace period are cut without an answer.
test('a stop with an open request answers it, and cuts it if that does not end it', async () => {
	const {clock, state} = beginStop();
	await clock.advance(gracePeriod);
	expect(state.calls).toEqual(['announce', 'end admission at 7500', 'answer at 7500', 'release', 'cut at 7700']);
});

// Guards against: a host goes on serving by the grace period that it had when the stop began, and is killed.
test('a grace period that is shortened while a host stops is kept', async () => {
	const {clock, state} = beginStop();
	await clock.advance(1000);
	state.gracePeriod = 4000;
	await clock.advance(3000);
	expect(state.isStopped).toBe(true);
	expect(state.calls).toContain('answer at 3500');
});

// Guards against: requests that are accepted while an ending host waits for the store are passed on and cut by its end.
test('a stopping host ends admission in the step in which it sees no open request, and before anything that takes time', async () => {
	const {clock, state} = beginStop();
	state.open = 0;
	await clock.advance(3000);
	expect(state.calls).toEqual(['announce', 'end admission at 3000', 'answer at 3000', 'release']);
	expect(state.isStopped).toBe(false);
	await clock.advance(100);
	expect(state.calls.at(-1)).toBe('cut at 3100');
	expect(state.isStopped).toBe(true);
});

// Guards against: a busy host needs so long to answer many requests that it cuts these answers before they are written.
test('a stop leaves answers time to be written, however long they took', async () => {
	const {clock, state} = beginStop({
		answerRequests() {
			clock.pause(400);
		},
	});
	await clock.advance(7500);
	expect(state.calls.at(-1)).not.toMatch(/^cut/v);
	await clock.advance(50);
	expect(state.calls.at(-1)).not.toMatch(/^cut/v);
	state.open = 0;
	await clock.advance(100);
	expect(state.calls.at(-1)).toMatch(/^cut/v);
	expect(state.isStopped).toBe(true);
});

// Guards against: an error in one step of a stop prevents the steps after it and the exit.
test('a stop ends although its announcement and its answers fail', async () => {
	const {clock, state} = beginStop({
		async announce() {
			throw new Error('no store');
		},
		answerRequests() {
			throw new Error('no answer');
		},
	});
	await clock.advance(gracePeriod);
	expect(state.calls).toEqual(['end admission at 7500', 'release', 'cut at 7700']);
	expect(state.isStopped).toBe(true);
});

// Guards against: a store that answers nothing holds a stopping host beyond its grace period.
test('a stop whose calls to the store hang ends within the grace period', async () => {
	const hang = async (): Promise<void> => new Promise(() => {
		// Never resolves.
	});
	const {clock, state} = beginStop({announce: hang, release: hang});
	await clock.advance(gracePeriod);
	expect(state.isStopped).toBe(true);
});

test('a stopping host accepts all requests at first, and later only those that can end within the grace period', () => {
	expect(canAcceptRequest(2000, gracePeriod, 10_000)).toBe(true);
	expect(canAcceptRequest(5300, gracePeriod, 10_000)).toBe(false);
	expect(canAcceptRequest(5300, gracePeriod, 1200)).toBe(true);
	expect(canAcceptRequest(7500, gracePeriod, 1200)).toBe(false);
});

// Guards against: a short grace period is over before a host begins to refuse requests that can't end within it.
test('a stopping host with a short grace period accepts all requests only in the first part of it', () => {
	expect(canAcceptRequest(400, 2000, 10_000)).toBe(true);
	expect(canAcceptRequest(1000, 2000, 10_000)).toBe(false);
	expect(canAcceptRequest(1000, 2000, 300)).toBe(true);
});
