import {createManualClock, createRandom} from '@gentianlift/clock';
import {
	getUpstreamKey, noRankTokens, type Candidate, type EarlyRefusal, type RankTokens, type Upstream,
} from '@gentianlift/routing';
import {
	buildCandidate, buildConfiguration, buildRoute, buildUpstream,
} from '@gentianlift/routing/testing';
import type {Milliseconds} from '@gentianlift/types';
import {expect, test} from 'vitest';
import {createProgress, type Progress} from '../call.js';
import {createEarlyRefusals} from './early-refusals.js';
import {createRequestQueue, type Assignment, type RequestQueue} from './request-queue.js';
import {createSimulatedHost, type SimulatedHost, type SimulatedRequest} from './simulated-host.js';

const question = buildRoute({name: 'question', rank: 0, latencyTarget: 300});
const plan = buildRoute({
	name: 'plan', rank: 1, latencyTarget: 500, timeout: 10_000, kind: 'streaming', maxSilence: 3000,
});
const review = buildRoute({
	name: 'review', rank: 2, latencyTarget: 1500, timeout: 10_000, kind: 'streaming', maxSilence: 3000,
});
const configuration = buildConfiguration({
	routes: [question, plan, review],
	services: [{name: 's', maxConnections: 100, engine: {slots: 64, cacheTokens: 500_000, tokensPerEvent: 3}}],
});

/** Prompt tokens that an upstream prefills in a second at the rate that is assumed of it. */
const tokensPerSecond = 40_000;
/** Load at which calls with a backlog limit have to wait, and are expected to be served after a second. */
const busy = {unreadTokens: tokensPerSecond, queuedTokens: noRankTokens};
/** Load at which the callers of all routes leave before the first token. */
const hopeless = {unreadTokens: 6 * tokensPerSecond, queuedTokens: new Map([[question.rank, 10 * tokensPerSecond]])};

type Load = {unreadTokens: number; queuedTokens: RankTokens};

/** Reports the load that another host puts on each upstream. */
const reportLoad = ({loads, clock}: SimulatedHost, load: Load, upstreams = [buildUpstream()]): void => {
	const reported = upstreams.map(upstream => ({
		upstream: getUpstreamKey(upstream), running: 20, latencySensitiveStreams: 0, ...load,
	}));
	loads.setReported('other', 1, reported, clock.monotonic());
};

const createBusyHost = (load: Load): SimulatedHost => {
	const host = createSimulatedHost(configuration, [buildUpstream()]);
	reportLoad(host, load);
	return host;
};

const oneReview = {route: review, name: 'r1', tokens: 16_000};

// Calls that no engine could serve in time were held until their callers left, and were never told to come back.
test('a call that no upstream can serve before its deadline is refused at once', async () => {
	const host = createBusyHost(hopeless);
	const answer = host.send({...oneReview, clientTimeout: 3000});
	await host.clock.advance(500);
	expect(answer.status).toBe(503);
	expect(answer.body).toContain('"ran":"not-run"');
	expect(answer.retryAfter).toBeGreaterThan(0);
});

test('a call whose caller leaves after a silence is refused before that, however late its deadline', async () => {
	const host = createBusyHost(hopeless);
	const answer = host.send(oneReview);
	await host.clock.advance(500);
	expect(answer).toMatchObject({status: 503});
});

test('a refusal names a time to return within a third of the caller\'s time', async () => {
	const host = createBusyHost(hopeless);
	const answer = host.send({...oneReview, clientTimeout: 3000});
	const arrivedAt = host.clock.monotonic();
	await host.clock.advance(500);
	const remaining = arrivedAt + 3000 - answer.answeredAt!;
	expect(answer.retryAfter).toBeGreaterThanOrEqual(250);
	expect(answer.retryAfter).toBeLessThanOrEqual(remaining / 3);
});

test('a refusal is logged with its inputs and counted', async () => {
	const host = createBusyHost(hopeless);
	host.send(oneReview);
	await host.clock.advance(500);
	const line = host.logLines.find(text => text.includes('event=call-refused'));
	expect(line).toMatch(/request=r1 reason=deadline-unreachable route=review rank=2 expected=\d+ remaining=\d+ backlog=\d+ otherHostsTokens=\d+ tokensAhead=\d+ retryAfter=\d+/v);
	expect(host.metrics.getValue('early_refusals_total', {route: 'review'})).toBe(1);
	expect(host.metrics.getValue('refusals_total', {reason: 'deadline-unreachable'})).toBe(1);
});

// A call that is always expected to be served soon, and never is, was left without an answer too.
test('a call that keeps waiting is refused before its caller leaves', async () => {
	const host = createBusyHost(busy);
	const answer = host.send(oneReview);
	await host.clock.advance(2000);
	expect(answer.status).toBeUndefined();
	await host.clock.advance(1000);
	expect(answer).toMatchObject({status: 503});
});

/** Enqueues a call without a forwarder, as an assigned one would be sent. */
const enqueue = (host: SimulatedHost, queue: RequestQueue, request: SimulatedRequest, progress: Progress): {ended: Array<Assignment | undefined>} => {
	const ended: Array<Assignment | undefined> = [];
	const waitForEnd = async (): Promise<void> => {
		ended.push(await queue.enqueue(host.createCall(request), progress));
	};

	void waitForEnd();
	return {ended};
};

test('a call that fits is held and served', async () => {
	const host = createBusyHost(busy);
	const queue = createRequestQueue(host.context);
	const progress = createProgress();
	const {ended} = enqueue(host, queue, oneReview, progress);
	await host.clock.advance(1500);
	expect(ended).toEqual([]);
	reportLoad(host, {unreadTokens: 0, queuedTokens: noRankTokens});
	await host.clock.advance(20);
	expect(ended[0]).toMatchObject({candidate: {upstream: {id: 'u1'}}});
	expect(progress.refusal).toBeUndefined();
});

test('a call that may have executed is not refused as not run', async () => {
	const host = createBusyHost(hopeless);
	const queue = createRequestQueue(host.context);
	const progress = {...createProgress(), possibleExecutions: 1};
	const {ended} = enqueue(host, queue, oneReview, progress);
	await host.clock.advance(2500);
	expect(ended).toEqual([]);
	expect(progress.refusal).toBeUndefined();
});

const spikeDuration: Milliseconds = 80;

// Reports lag, and a crash or a stale report makes the prediction jump for some passes.
test('a short spike of the prediction refuses nothing', async () => {
	const host = createBusyHost(busy);
	const answer = host.send(oneReview);
	for (let spike = 0; spike < 5; spike++) {
		reportLoad(host, hopeless);
		// eslint-disable-next-line no-await-in-loop -- Spikes come one after the other.
		await host.clock.advance(spikeDuration);
		reportLoad(host, busy);
		// eslint-disable-next-line no-await-in-loop -- As above.
		await host.clock.advance(spikeDuration);
	}

	expect(answer.status).toBeUndefined();
});

/** Sends reviews and then plans, each of which takes an upstream 400 ms to prefill, and returns the names of those that are refused within half a second. */
const getRefusedNames = async (host: SimulatedHost, reviewCount: number, planCount: number): Promise<string[]> => {
	const requests = [
		...Array.from({length: reviewCount}, (_, index) => ({...oneReview, name: `review-${index}`})),
		...Array.from({length: planCount}, (_, index) => ({route: plan, name: `plan-${index}`, tokens: 16_000})),
	];
	const answers = requests.map(request => ({name: request.name, answer: host.send(request)}));
	await host.clock.advance(500);
	return answers.filter(({answer}) => answer.status === 503).map(({name}) => name);
};

// Queued tokens of other hosts counted as ahead of each call, whatever their rank, so that the highest ranks were refused first.
test('a higher-ranked call is not refused while a lower-ranked one waits and is kept', async () => {
	const host = createBusyHost({...busy, queuedTokens: new Map([[review.rank, 8 * tokensPerSecond]])});
	const refused = await getRefusedNames(host, 20, 2);
	expect(refused).not.toContain('review-0');
	expect(refused).toContain('review-19');
	expect(refused.filter(name => name.startsWith('plan'))).toEqual([]);
});

// Once a host had refused its own reviews, its plans took all that other hosts had queued to go before them.
test('higher-ranked calls are not refused after the lower-ranked ones', async () => {
	const host = createBusyHost({...busy, queuedTokens: new Map([[review.rank, 300 * tokensPerSecond]])});
	const refused = await getRefusedNames(host, 20, 2);
	expect(refused).toHaveLength(20);
	expect(refused.filter(name => name.startsWith('plan'))).toEqual([]);
});

test('of calls of one rank those at the end of the queue are refused, until the others fit', async () => {
	const host = createBusyHost(busy);
	const refused = await getRefusedNames(host, 20, 0);
	const kept = 20 - refused.length;
	expect(kept).toBeGreaterThanOrEqual(5);
	expect(refused).toEqual(Array.from({length: refused.length}, (_, index) => `review-${kept + index}`));
});

/** Time in which a load report reaches the other hosts of a large fleet. */
const reportDelay: Milliseconds = 30;

const createFleet = (hostCount: number, upstreams: readonly Upstream[]): SimulatedHost[] => {
	const clock = createManualClock(1000);
	const seeds = createRandom(1);
	const hosts = Array.from({length: hostCount}, () => createSimulatedHost(configuration, upstreams, {clock, seed: seeds.nextInt(2 ** 30)}));
	for (const host of hosts) {
		reportLoad(host, busy, [...upstreams]);
	}

	return hosts;
};

/** Delivers the load that each host has reported before the delay to all others. */
const deliverReports = async (hosts: readonly SimulatedHost[]): Promise<void> => {
	const reports = hosts.map(({loads}, index) => ({name: `h${index}`, loads: loads.getOwnLoads()}));
	await hosts[0]?.clock.advance(reportDelay);
	for (const [index, {loads, clock}] of hosts.entries()) {
		for (const report of reports.toSpliced(index, 1)) {
			loads.setReported(report.name, 1, report.loads, clock.monotonic());
		}
	}
};

/** Sends reviews to each host at once, each of which takes an upstream 400 ms, and returns how many still wait after 600 ms. */
const countKept = async (hosts: readonly SimulatedHost[], reviewsPerHost: number): Promise<number> => {
	const answers = hosts.flatMap(host => Array.from({length: reviewsPerHost}, (_, index) => host.send({...oneReview, name: `review-${index}`})));
	for (let elapsed = 0; elapsed < 600; elapsed += reportDelay) {
		// eslint-disable-next-line no-await-in-loop -- Reports arrive one after the other.
		await deliverReports(hosts);
	}

	return answers.filter(({status}) => status === undefined).length;
};

// Hosts that know nothing of the order in each other's queues all refused their calls, or all kept them.
test('hosts with one waiting call each keep about as many as can be served', async () => {
	const kept = await countKept(createFleet(75, [buildUpstream()]), 1);
	// The upstream can serve 5 within the 3 s that callers wait, and 9 within the margin.
	expect(kept).toBeGreaterThanOrEqual(5);
	expect(kept).toBeLessThanOrEqual(25);
});

// Waiting calls change from one upstream to another in each pass; measured by its own queue, some upstream always seemed to be in time.
test('hosts with several upstreams keep about as many calls as these can serve', async () => {
	const upstreams = ['u1', 'u2', 'u3', 'u4'].map(id => buildUpstream({id}));
	const kept = await countKept(createFleet(20, upstreams), 6);
	// The upstreams can serve 20 within the 3 s that callers wait, and 36 within the margin.
	expect(kept).toBeGreaterThanOrEqual(20);
	expect(kept).toBeLessThanOrEqual(60);
});

test('no call is refused while an upstream could take it now, however slow that seems, or return its first token in time', async () => {
	const host = createBusyHost(busy);
	const refusals = createEarlyRefusals(host.context);
	const chosen = buildCandidate({backlog: 30_000});
	const free = buildCandidate({
		upstream: buildUpstream({id: 'u2'}), backlog: 0, uncachedTokens: 100_000, prefillRate: 4,
	});
	const waiting = {
		call: host.createCall(oneReview), progress: createProgress(), chosen, backlogLimit: 90, tokensAhead: new Map<string, RankTokens>(),
	};
	const runPasses = async (candidates: Candidate[]): Promise<Array<EarlyRefusal | undefined>> => {
		const results: Array<EarlyRefusal | undefined> = [];
		for (let pass = 0; pass < 20; pass++) {
			results.push(refusals.check({...waiting, candidates, now: host.clock.monotonic()}));
			// eslint-disable-next-line no-await-in-loop -- Passes come one after the other.
			await host.clock.advance(15);
		}

		return results.filter(refusal => refusal !== undefined);
	};

	const inTime = buildCandidate({upstream: buildUpstream({id: 'u3'}), backlog: 1000});
	expect(await runPasses([chosen, free])).toEqual([]);
	expect(await runPasses([chosen, inTime])).toEqual([]);
	expect(await runPasses([chosen])).not.toEqual([]);
});

// Guards against: a call takes an engine's room although its caller leaves before the first token, while others with more time wait.
test('a call whose first token can\'t come before its caller leaves is refused in place of being sent', async () => {
	const host = createSimulatedHost(configuration, [buildUpstream()]);
	const tokens = tokensPerSecond / 2;
	const late = host.send({
		...oneReview, tokens, clientTimeout: 450,
	});
	await host.clock.advance(1);
	expect(late.status).toBe(503);
	expect(late.body).toContain('"ran":"not-run"');
	const assignment = await createRequestQueue(host.context).enqueue(host.createCall({...oneReview, tokens, clientTimeout: 600}), createProgress());
	expect(assignment?.candidate.uncachedTokens).toBe(tokens);
});

// Guards against: a call of the highest rank is refused for work that its engine puts behind it.
test('a call of the highest rank is sent whatever its upstream has to do', async () => {
	const host = createBusyHost(hopeless);
	const call = host.createCall({
		route: question, name: 'q1', tokens: 1000, clientTimeout: 2000,
	});
	expect(await createRequestQueue(host.context).enqueue(call, createProgress())).toBeDefined();
});
