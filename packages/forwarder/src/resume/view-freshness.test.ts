import {createManualClock} from '@gentianlift/clock';
import type {FleetView, LoadReportExchange} from '@gentianlift/discovery';
import {expect, test} from 'vitest';
import {createViewFreshness} from './view-freshness.js';

/** Creates the freshness of a host's view at revision 5, whose store has answered at time 0 and whose other hosts report what `reported` says. */
const createHost = () => {
	const clock = createManualClock(0);
	const reported = {revision: 5, silence: Number.POSITIVE_INFINITY};
	const state = {
		contactAt: 0, refreshes: 0, isConfigurationBehind: false, isRefreshFailing: false, isAnswered: true,
	};
	const view: Partial<FleetView> = {getRevision: () => 5, getTimeSinceStoreContact: now => now - state.contactAt};
	const reportExchange: Partial<LoadReportExchange> = {getNewestRevision: () => reported.revision, getShortestSilence: () => reported.silence};
	const freshness = createViewFreshness({
		clock,
		view: view as FleetView,
		reportExchange: reportExchange as LoadReportExchange,
		isConfigurationBehind: () => state.isConfigurationBehind,
		confirm: async () => state.isAnswered,
		async refresh() {
			state.refreshes += 1;
			if (state.isRefreshFailing) {
				throw new Error('test');
			}

			state.contactAt = clock.monotonic();
		},
	});
	return {
		clock, reported, state, freshness,
	};
};

// Guards against: a host that has just been cut off from the store and from all other hosts takes what it last knew for what holds now.
test('a view is current while the store has just answered, or another host has reported', async () => {
	const {clock, reported, freshness} = createHost();
	await clock.advance(150);
	expect(freshness.isCurrent()).toBe(true);
	await clock.advance(100);
	expect(freshness.isCurrent()).toBe(false);
	reported.silence = 500;
	expect(freshness.isCurrent()).toBe(true);
	reported.silence = 700;
	expect(freshness.isCurrent()).toBe(false);
});

test('a view that is behind that of another host isn\'t current', () => {
	const {reported, freshness} = createHost();
	reported.revision = 6;
	expect(freshness.isCurrent()).toBe(false);
});

// Guards against: a host whose revision is that of the others takes its older configuration for the newest.
test('a view with an older configuration than another host reports isn\'t current, and one that nobody confirms is uncertain', async () => {
	const {clock, state, freshness} = createHost();
	expect([freshness.isCurrent(), freshness.isConfigurationUncertain()]).toEqual([true, false]);
	state.isConfigurationBehind = true;
	expect([freshness.isCurrent(), freshness.isConfigurationUncertain()]).toEqual([false, true]);
	state.isConfigurationBehind = false;
	await clock.advance(5000);
	expect(freshness.isConfigurationUncertain()).toBe(true);
});

test('a configuration that others report is awaited, and read if it doesn\'t arrive by itself', async () => {
	const {clock, state, freshness} = createHost();
	await freshness.waitForConfiguration();
	state.isConfigurationBehind = true;
	const arriving = freshness.waitForConfiguration();
	state.isConfigurationBehind = false;
	await clock.advance(40);
	await arriving;
	expect(state.refreshes).toBe(0);
	await clock.advance(300);
	state.isConfigurationBehind = true;
	const waiting = freshness.waitForConfiguration();
	await clock.advance(40);
	await waiting;
	expect(state.refreshes).toBe(1);
});

// Guards against: no view is ever read again after one read that failed.
test('a read of the newest state that fails is followed by the next one', async () => {
	const {clock, state, freshness} = createHost();
	await clock.advance(5000);
	state.isRefreshFailing = true;
	await expect(freshness.refreshIfStale()).rejects.toThrow('test');
	state.isRefreshFailing = false;
	await clock.advance(300);
	await freshness.refreshIfStale();
	expect(state.refreshes).toBe(2);
	expect(freshness.isCurrent()).toBe(true);
});

// Guards against: right after a suspension, a host acts on what it believed before, which old reports seem to confirm.
test('a view isn\'t current right after a suspension, even if reports that waited meanwhile confirm it', async () => {
	const {clock, reported, freshness} = createHost();
	reported.silence = 0;
	await clock.advance(100);
	expect(freshness.isCurrent()).toBe(true);
	clock.pause(3000);
	expect(freshness.isCurrent()).toBe(false);
	await clock.advance(400);
	expect(freshness.isCurrent()).toBe(false);
	await clock.advance(200);
	expect(freshness.isCurrent()).toBe(true);
});

test('a view that isn\'t current is read again, and awaited for a bounded time', async () => {
	const {clock, state, freshness} = createHost();
	await clock.advance(5000);
	const isCurrent = freshness.ensureCurrent();
	await clock.advance(100);
	expect(await isCurrent).toBe(true);
	expect(state.refreshes).toBe(1);
	expect(await freshness.ensureCurrent()).toBe(true);
	expect(state.refreshes).toBe(1);
	const {clock: lostClock, reported, freshness: lost} = createHost();
	reported.revision = 6;
	const isLost = lost.ensureCurrent();
	await lostClock.advance(1000);
	expect(await isLost).toBe(false);
});

// Guards against: reports of hosts that are cut off together pass for a confirmation by the store.
test('a view is confirmed only if the store answers now, within a bounded time, and no host is ahead', async () => {
	const {state, reported, freshness} = createHost();
	expect(await freshness.confirm()).toBe(true);
	reported.revision = 6;
	expect(await freshness.confirm()).toBe(false);
	reported.revision = 5;
	reported.silence = 0;
	state.isAnswered = false;
	expect(await freshness.confirm()).toBe(false);
});
