import {createManualClock} from '@gentianlift/clock';
import {createLoadTracker} from '@gentianlift/discovery';
import {createSilentLogger} from '@gentianlift/logger';
import type {Service} from '@gentianlift/routing';
import {buildUpstream} from '@gentianlift/routing/testing';
import {expect, test} from 'vitest';
import {createSoleLimits} from '../statements/testing-sole-limits.js';
import {createUpstreamTracker} from './upstream-tracker.js';

const upstream = buildUpstream();
const key = 'u1@1';
const service: Service = {name: 's', maxConnections: 100};

const createTracker = () => {
	const clock = createManualClock();
	const logger = createSilentLogger();
	const tracker = createUpstreamTracker({
		clock, logger, loads: createLoadTracker(), limits: createSoleLimits(clock, logger), rests: {isResting: () => false}, fragileUpstreams: {hasRoom: () => true}, getService: () => service,
	});
	const isDoubted = (): boolean | undefined => tracker.observe(service, [upstream], clock.monotonic()).all[0]?.isDoubted;
	return {clock, tracker, isDoubted};
};

// Guards against: a stream goes on at an upstream that has started again under its id with another version, at a host that had no connection to it when it crashed (soak seed 52016).
test('an upstream that another host has found crashed may have another version than its entry says', async () => {
	const {clock, tracker, isDoubted} = createTracker();
	expect(isDoubted()).toBe(false);
	tracker.recordCrash(key, 5);
	expect(isDoubted()).toBe(true);
	await clock.advance(10_000);
	expect(isDoubted()).toBe(true);
});

// Guards against: as before, as the doubt ended before the upstream was back.
test('the doubt about an upstream ends some time after it has answered a request that was sent since, not before', async () => {
	const {clock, tracker, isDoubted} = createTracker();
	const before = tracker.trackRequest(upstream);
	await clock.advance(10);
	tracker.recordUnreachable(upstream, 'ECONNREFUSED');
	before.recordBytes();
	await clock.advance(5000);
	expect(isDoubted()).toBe(true);
	tracker.trackRequest(upstream).recordBytes();
	await clock.advance(1999);
	expect(isDoubted()).toBe(true);
	await clock.advance(1);
	expect(isDoubted()).toBe(false);
});
