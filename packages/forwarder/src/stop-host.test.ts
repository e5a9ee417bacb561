import {createManualClock} from '@gentianlift/clock';
import {createSilentLogger} from '@gentianlift/logger';
import {expect, test} from 'vitest';
import {canAcceptRequest, stopHost} from './stop-host.js';

const grace = 8000;

const startStop = () => {
	const clock = createManualClock();
	const state = {open: 1, isStopped: false, calls: [] as string[]};
	const stopped = (async () => {
		await stopHost({
			clock, logger: createSilentLogger(), gracePeriod: grace, addressTtl: 3000, countOpenRequests: () => state.open,
			async announce() {
				state.calls.push('announce');
			},
			async release() {
				state.calls.push('release');
			},
		});
		state.isStopped = true;
	})();
	return {clock, state, stopped};
};

test('a stop waits until callers know other addresses, though nothing is open', async () => {
	const {clock, state} = startStop();
	state.open = 0;
	await clock.advance(2900);
	expect(state.calls).toEqual(['announce']);
	await clock.advance(1000);
	expect(state.isStopped).toBe(true);
	expect(state.calls).toEqual(['announce', 'release']);
});

test('a stop waits for open requests', async () => {
	const {clock, state} = startStop();
	await clock.advance(6000);
	expect(state.isStopped).toBe(false);
	state.open = 0;
	await clock.advance(500);
	expect(state.isStopped).toBe(true);
});

test('a stop ends before the grace does', async () => {
	const {clock, state} = startStop();
	await clock.advance(grace);
	expect(state.isStopped).toBe(true);
});

test('a host that stops takes what callers send before they can know, and later only what fits', () => {
	expect(canAcceptRequest(2000, grace, 10_000)).toBe(true);
	expect(canAcceptRequest(5300, grace, 10_000)).toBe(false);
	expect(canAcceptRequest(5300, grace, 1200)).toBe(true);
	expect(canAcceptRequest(7500, grace, 1200)).toBe(false);
});
