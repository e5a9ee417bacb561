import {createManualClock, createRandom, type ManualClock} from '@gentianlift/clock';
import {
	createLoadTracker, type LoadTracker, type LoadReportExchange,
} from '@gentianlift/discovery';
import {createSilentLogger} from '@gentianlift/logger';
import {createMetrics} from '@gentianlift/metrics';
import {
	createCrashSuspects, sumRankTokens, type Route, type Upstream,
} from '@gentianlift/routing';
import {buildConfiguration, buildRoute, buildUpstream} from '@gentianlift/routing/testing';
import type {Milliseconds} from '@gentianlift/types';
import {expect, test} from 'vitest';
import {
	createProgress, type Progress,
} from '../call.js';
import type {ForwarderContext} from '../context.js';
import {createSoleLimits} from '../statements/testing-sole-limits.js';
import {buildTestCall, buildTestPrompt} from '../testing-call.js';
import {createTestView} from '../resume/testing-view.js';
import {createUpstreamTracker, type UpstreamTracker} from './upstream-tracker.js';
import {createRequestQueue, type Assignment, type RequestQueue} from './request-queue.js';

const question = buildRoute({name: 'question', rank: 0, latencyTarget: 300});
const review = buildRoute({
	name: 'review', rank: 2, latencyTarget: 1500, timeout: 10_000,
});
const configuration = buildConfiguration({
	routes: [question, review],
	services: [{name: 's', maxConnections: 100, engine: {slots: 64, cacheTokens: 500_000, tokensPerEvent: 3}}],
});

type TestSetup = {
	clock: ManualClock;
	loads: LoadTracker;
	tracker: UpstreamTracker;
	queue: RequestQueue;
	/** Number of candidate lookups, and the simulated duration of each. */
	lookups: {count: number; time: Milliseconds};
};

const createTestSetup = (upstreams: readonly Upstream[]): TestSetup => {
	const clock = createManualClock(1000);
	const loads = createLoadTracker();
	const logger = createSilentLogger();
	const view = createTestView(logger, configuration, upstreams);
	const limits = createSoleLimits(clock, logger);
	const tracker = createUpstreamTracker({
		clock, logger, loads, limits, rests: {isResting: () => false}, fragileUpstreams: {hasRoom: () => true}, getService: view.getService,
	});
	const reportExchange: Pick<LoadReportExchange, 'addLoad'> = {
		addLoad(upstream, change) {
			loads.addOwnLoad(upstream, change, clock.monotonic());
		},
	};
	const lookups = {count: 0, time: 0};
	const countingTracker: UpstreamTracker = {
		...tracker,
		getCandidates(...parameters) {
			lookups.count += 1;
			clock.pause(lookups.time);
			return tracker.getCandidates(...parameters);
		},
	};
	const context: Pick<ForwarderContext, 'clock' | 'view' | 'tracker' | 'metrics' | 'reportExchange' | 'random' | 'zone' | 'countHosts' | 'suspects' | 'getServingEnd' | 'limits'> = {
		clock, view, tracker: countingTracker, metrics: createMetrics(), reportExchange: reportExchange as LoadReportExchange, random: createRandom(1), zone: 'a', countHosts: () => 1,
		suspects: createCrashSuspects(),
		getServingEnd: () => Number.POSITIVE_INFINITY,
		limits,
	};
	return {
		clock, loads, tracker, lookups, queue: createRequestQueue(context as ForwarderContext),
	};
};

/** Enqueues a call and records its name once it is dispatched, or its name after `no` if it leaves the queue otherwise. */
const enqueue = ({clock, queue}: TestSetup, {route, name, tokens}: {route: Route; name: string; tokens: number}, dispatched: string[]): {
	progress: Progress;
	assignment: Promise<Assignment | undefined>;
} => {
	const progress = createProgress();
	const waitForAssignment = async (): Promise<Assignment | undefined> => {
		const assignment = await queue.enqueue(buildTestCall({
			route, arrivedAt: clock.monotonic(), prompt: buildTestPrompt(name, tokens), name,
		}), progress);
		dispatched.push(assignment === undefined ? `no ${name}` : name);
		return assignment;
	};

	return {progress, assignment: waitForAssignment()};
};

const manyReviews = Array.from({length: 6}, (_, index) => ({route: review, name: `review-${index}`, tokens: 16_000}));

test('a burst of reviews leaves capacity for a question of a higher rank', async () => {
	const setup = createTestSetup([buildUpstream({id: 'u1'}), buildUpstream({id: 'u2'})]);
	const dispatched: string[] = [];
	for (const item of manyReviews) {
		enqueue(setup, item, dispatched);
	}

	await setup.clock.advance(0);
	expect(dispatched).toEqual(['review-0', 'review-1']);
	enqueue(setup, {route: question, name: 'question', tokens: 1000}, dispatched);
	await setup.clock.advance(0);
	expect(dispatched).toEqual(['review-0', 'review-1', 'question']);
});

test('with a long queue and frequent load reports, dispatch uses at most a tenth of the processor time', async () => {
	const setup = createTestSetup([buildUpstream({id: 'u1'}), buildUpstream({id: 'u2'})]);
	const dispatched: string[] = [];
	for (let index = 0; index < 30; index++) {
		enqueue(setup, {route: review, name: `review-${index}`, tokens: 16_000}, dispatched);
	}

	await setup.clock.advance(0);
	setup.lookups.count = 0;
	setup.lookups.time = 0.2;
	const from = setup.clock.monotonic();
	// Each load report of another host requests a dispatch pass.
	for (let report = 0; report < 800; report++) {
		setup.queue.requestDispatch();
		// eslint-disable-next-line no-await-in-loop -- Reports arrive one at a time.
		await setup.clock.advance(1);
	}

	const busy = setup.lookups.count * setup.lookups.time;
	// The pause after the last pass is not over yet.
	const lastPass = 30 * setup.lookups.time;
	expect(setup.lookups.count).toBeGreaterThan(30);
	expect((busy - lastPass) / (setup.clock.monotonic() - from)).toBeLessThanOrEqual(0.1);
});

test('the next review is dispatched once the prefill of the previous one is complete', async () => {
	const setup = createTestSetup([buildUpstream()]);
	const dispatched: string[] = [];
	const first = enqueue(setup, manyReviews[0]!, dispatched);
	enqueue(setup, manyReviews[1]!, dispatched);
	await setup.clock.advance(50);
	expect(dispatched).toEqual(['review-0']);
	const assignment = await first.assignment;
	assignment?.load.finishPrefill();
	await setup.clock.advance(20);
	expect(dispatched).toEqual(['review-0', 'review-1']);
});

test('a call whose caller has disconnected leaves the queue', async () => {
	const setup = createTestSetup([buildUpstream()]);
	const dispatched: string[] = [];
	enqueue(setup, manyReviews[0]!, dispatched);
	const second = enqueue(setup, manyReviews[1]!, dispatched);
	await setup.clock.advance(5);
	second.progress.isCallerGone = true;
	second.progress.cancel?.();
	await setup.clock.advance(0);
	expect(dispatched).toEqual(['review-0', 'no review-1']);
	expect(setup.queue.getLength()).toBe(0);
});

test('without an upstream a call is not queued', async () => {
	const setup = createTestSetup([]);
	const dispatched: string[] = [];
	enqueue(setup, manyReviews[0]!, dispatched);
	await setup.clock.advance(0);
	expect(dispatched).toEqual(['no review-0']);
});

test('queued tokens are reported to other hosts, and withdrawn once the call is dispatched', async () => {
	const setup = createTestSetup([buildUpstream()]);
	const dispatched: string[] = [];
	const first = enqueue(setup, manyReviews[0]!, dispatched);
	enqueue(setup, manyReviews[1]!, dispatched);
	await setup.clock.advance(20);
	expect(sumRankTokens(setup.loads.getTotalLoad('u1@1').queuedTokens)).toBe(16_000);
	const assignment = await first.assignment;
	assignment?.load.end();
	await setup.clock.advance(20);
	expect(sumRankTokens(setup.loads.getTotalLoad('u1@1').queuedTokens)).toBe(0);
});

test('reported queued tokens are withdrawn when the caller disconnects', async () => {
	const setup = createTestSetup([buildUpstream()]);
	const dispatched: string[] = [];
	enqueue(setup, manyReviews[0]!, dispatched);
	const second = enqueue(setup, manyReviews[1]!, dispatched);
	await setup.clock.advance(20);
	expect(sumRankTokens(setup.loads.getTotalLoad('u1@1').queuedTokens)).toBe(16_000);
	second.progress.isCallerGone = true;
	second.progress.cancel?.();
	await setup.clock.advance(20);
	expect(sumRankTokens(setup.loads.getTotalLoad('u1@1').queuedTokens)).toBe(0);
});

const service = configuration.services[0]!;
const upstreams = [buildUpstream({id: 'u1'}), buildUpstream({id: 'u2'})];
const getCandidateIds = ({clock, tracker}: TestSetup): string[] =>
	tracker.getCandidates({service: tracker.observe(service, upstreams, clock.monotonic()), prompt: undefined}).map(({upstream}) => upstream.id);

test('an unreachable upstream is avoided for a growing backoff period, unless all upstreams are unreachable', async () => {
	const setup = createTestSetup(upstreams);
	const {clock, tracker} = setup;
	tracker.recordUnreachable(upstreams[0]!, 'test');
	expect(getCandidateIds(setup)).toEqual(['u2']);
	tracker.recordUnreachable(upstreams[1]!, 'test');
	expect(getCandidateIds(setup)).toEqual(['u1', 'u2']);
	await clock.advance(500);
	tracker.recordUnreachable(upstreams[0]!, 'test');
	await clock.advance(500);
	expect(getCandidateIds(setup)).toEqual(['u2']);
});

test('an upstream that is silent while requests are in flight there gets no new ones', async () => {
	const setup = createTestSetup(upstreams);
	const {clock, tracker} = setup;
	const activity = tracker.trackRequest(upstreams[0]!);
	await clock.advance(800);
	expect(getCandidateIds(setup)).toEqual(['u2']);
	activity.recordBytes();
	expect(getCandidateIds(setup)).toEqual(['u1', 'u2']);
	await clock.advance(800);
	activity.end();
	expect(getCandidateIds(setup)).toEqual(['u1', 'u2']);
});
