import {createManualClock} from '@gentianlift/clock';
import {createSilentLogger} from '@gentianlift/logger';
import {expect, test} from 'vitest';
import {canAcceptRequest, stopHost} from './stop-host.js';

const gracePeriod = 8000;

const beginStop = () => {
	const clock = createManualClock();
	const state = {open: 1, isStopped: false, calls: [] as string[]};
	const stopped = (async () => {
		await stopHost({
			clock, logger: createSilentLogger(), gracePeriod, maxAddressUse: 3000, countOpenRequests: () => state.open,
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

test('a stopping host serves until callers know other addresses, even without open requests', async () => {
	const {clock, state} = beginStop();
	state.open = 0;
	await clock.advance(2900);
	expect(state.calls).toEqual(['announce']);
	await clock.advance(1000);
	expect(state.isStopped).toBe(true);
	expect(state.calls).toEqual(['announce', 'release']);
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

test('a stopping host accepts all requests at first, and later only those that can end within the grace period', () => {
	expect(canAcceptRequest(2000, gracePeriod, 10_000)).toBe(true);
	expect(canAcceptRequest(5300, gracePeriod, 10_000)).toBe(false);
	expect(canAcceptRequest(5300, gracePeriod, 1200)).toBe(true);
	expect(canAcceptRequest(7500, gracePeriod, 1200)).toBe(false);
});
