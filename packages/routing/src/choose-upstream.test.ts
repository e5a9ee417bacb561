import {createRandom} from '@gentianlift/clock';
import {expect, test} from 'vitest';
import {getBacklog} from './backlog.js';
import {chooseUpstream, type Candidate, type RequestProfile} from './choose-upstream.js';
import {createPromptCacheEstimate} from './prompt-cache.js';
import {getPreferredUpstream} from './preferred-upstream.js';
import {createPrefillRateEstimate, defaultPrefillRate} from './prefill-rate.js';
import {chooseReservedUpstreams, isLatencySensitiveRoute, updateReservation} from './reserved-upstreams.js';
import {
	buildCandidate, buildLoad, buildRoute, buildUpstream,
} from './testing.js';
import {getUpstreamKey} from './upstream.js';
import {compareQueued, getBacklogLimit} from './queue-order.js';

const longPrompt: RequestProfile = {
	zone: 'a', hasPrompt: true, isLatencySensitive: false, slack: 1500,
};
const latencySensitive: RequestProfile = {...longPrompt, isLatencySensitive: true, slack: 300};

const choose = (candidates: Candidate[], profile: RequestProfile): string | undefined =>
	chooseUpstream(candidates, profile, createRandom(1))?.upstream.id;

const createCandidate = (id: string, changes: Partial<Candidate> = {}): Candidate => buildCandidate({upstream: buildUpstream({id}), ...changes});

test('long prompts go to the upstream with their document cached unless its queue is long', () => {
	const cached = createCandidate('cached', {uncachedTokens: 3700, backlog: 400, queueDelay: 600});
	const idle = createCandidate('idle', {uncachedTokens: 17_000, rereadTokens: 13_300});
	expect(choose([cached, idle], {...longPrompt, slack: 5000})).toBe('cached');
	expect(choose([{...cached, queueDelay: 6000}, idle], {...longPrompt, slack: 5000})).toBe('idle');
});

test('a latency-sensitive stream goes to an upstream without prefill backlog', () => {
	expect(choose([createCandidate('busy', {backlog: 300}), createCandidate('free', {load: buildLoad({running: 20})})], latencySensitive)).toBe('free');
});

test('long prompts avoid upstreams that are reserved for latency-sensitive streams', () => {
	const reserved = createCandidate('reserved', {isReserved: true, uncachedTokens: 17_000, load: buildLoad({latencySensitiveStreams: 10})});
	const other = createCandidate('other', {uncachedTokens: 17_000, backlog: 1500});
	expect(choose([reserved, other], longPrompt)).toBe('other');
});

test('a short prompt may use a reserved upstream', () => {
	const reserved = createCandidate('reserved', {isReserved: true, uncachedTokens: 1000, load: buildLoad({latencySensitiveStreams: 10})});
	expect(choose([reserved, createCandidate('other', {uncachedTokens: 1000, backlog: 800})], longPrompt)).toBe('reserved');
});

test('a failing upstream is avoided', () => {
	expect(choose([createCandidate('failing', {failureRatio: 0.4}), createCandidate('healthy', {backlog: 500})], longPrompt)).toBe('healthy');
});

test('requests without a prompt go to the least loaded upstream, and avoid slow and failing ones', () => {
	const call = {...longPrompt, hasPrompt: false};
	expect(choose([createCandidate('loaded', {load: buildLoad({running: 3})}), createCandidate('free')], call)).toBe('free');
	expect(choose([createCandidate('slow', {relativeLatency: 6}), createCandidate('loaded', {load: buildLoad({running: 3})})], call)).toBe('loaded');
	expect(choose([createCandidate('failing', {failureRatio: 0.5}), createCandidate('loaded', {load: buildLoad({running: 3})})], call)).toBe('loaded');
});

test('a backlog shrinks with time, but not to zero before the first token', () => {
	const load = buildLoad({unreadTokens: 8000, progressAt: 1000});
	expect(getBacklog(load, 40, 1000)).toBe(200);
	expect(getBacklog(load, 40, 1100)).toBe(100);
	expect(getBacklog(load, 40, 9000)).toBeGreaterThan(0);
	expect(getBacklog(buildLoad(), 40, 1000)).toBe(0);
});

test('the backlog limit follows the shortest target of the higher ranks', () => {
	const routes = [buildRoute({rank: 0, latencyTarget: 300}), buildRoute({rank: 1, latencyTarget: 800}), buildRoute({rank: 0, latencyTarget: 10, destinations: [{service: 'x', weight: 1}]})];
	expect(getBacklogLimit(routes, 's', 0)).toBe(Number.POSITIVE_INFINITY);
	expect(getBacklogLimit(routes, 's', 1)).toBe(90);
	expect(getBacklogLimit(routes, 's', 2)).toBe(90);
});

test('orders by rank, then requests that can meet their target, then by due time', () => {
	const queued = [
		{
			name: 'late', rank: 1, dueAt: 10, isLate: true,
		},
		{
			name: 'low', rank: 2, dueAt: 1, isLate: false,
		},
		{
			name: 'second', rank: 1, dueAt: 30, isLate: false,
		},
		{
			name: 'first', rank: 1, dueAt: 20, isLate: false,
		},
		{
			name: 'high', rank: 0, dueAt: 90, isLate: true,
		},
	];
	expect(queued.toSorted(compareQueued).map(({name}) => name)).toEqual(['high', 'first', 'second', 'late', 'low']);
});

test('the prefill rate is estimated from long prompts only', () => {
	const estimate = createPrefillRateEstimate();
	estimate.addSample(100, 100);
	expect(estimate.get()).toBe(defaultPrefillRate);
	for (let index = 0; index < 100; index++) {
		estimate.addSample(10_000, 100);
	}

	expect(estimate.get()).toBeCloseTo(100, 0);
});

test('a route is latency-sensitive if long prefills delay its events beyond their target', () => {
	const service = {name: 's', maxConnections: 1, engine: {slots: 1, cacheTokens: 1, tokensPerEvent: 4}};
	expect(isLatencySensitiveRoute(buildRoute({eventIntervalTarget: 200}), service, 46)).toBe(true);
	expect(isLatencySensitiveRoute(buildRoute({eventIntervalTarget: 300}), service, 46)).toBe(false);
	expect(isLatencySensitiveRoute(buildRoute(), service, 46)).toBe(false);
	expect(isLatencySensitiveRoute(buildRoute({eventIntervalTarget: 1}), {name: 's', maxConnections: 1}, 46)).toBe(false);
});

test('upstreams are reserved at once and released slowly, the same ones on all hosts', () => {
	const first = updateReservation(undefined, 30, 0);
	expect(first.count).toBe(3);
	expect(updateReservation(first, 0, 5000).count).toBe(3);
	expect(updateReservation(first, 0, 11_000).count).toBe(2);
	const upstreams = Array.from({length: 13}, (_, index) => buildUpstream({id: `u${index}`}));
	expect(chooseReservedUpstreams(upstreams, 3)).toEqual(chooseReservedUpstreams(upstreams.toReversed(), 3));
	expect(chooseReservedUpstreams(upstreams, 3).size).toBe(3);
	expect(chooseReservedUpstreams(upstreams, 13).size).toBe(3);
});

const prompt = {
	model: 'm', parts: [{id: 'doc', tokens: 1000}, {id: 'own', tokens: 100}], inputTokens: 1100, outputTokens: 10,
};

test('a part counts as cached only if all parts before it are cached', () => {
	const cache = createPromptCacheEstimate(10_000);
	cache.add({model: 'm', parts: [{id: 'own', tokens: 100}]});
	expect(cache.getCachedTokens(prompt)).toEqual({all: 0, shared: 0});
	cache.add({model: 'm', parts: [{id: 'doc', tokens: 1000}]});
	expect(cache.getCachedTokens(prompt)).toEqual({all: 1100, shared: 1000});
	expect(cache.getCachedTokens({...prompt, model: 'n'}).all).toBe(0);
});

test('the least recently used parts are evicted first', () => {
	const cache = createPromptCacheEstimate(2500);
	cache.add({model: 'm', parts: [{id: 'a', tokens: 1000}]});
	cache.add({model: 'm', parts: [{id: 'b', tokens: 1000}]});
	cache.add({model: 'm', parts: [{id: 'c', tokens: 1000}]});
	expect([cache.has('m', 'a'), cache.has('m', 'b'), cache.has('m', 'c')]).toEqual([false, true, true]);
});

test('all hosts choose the same preferred upstream, and only the prompts of a removed one move', () => {
	const upstreams = Array.from({length: 13}, (_, index) => buildUpstream({id: `u${index}`}));
	const prompts = Array.from({length: 100}, (_, index) => ({...prompt, parts: [{id: `doc${index}`, tokens: 1000}, {id: 'own', tokens: 1}]}));
	const preferred = prompts.map(item => getPreferredUpstream(item, upstreams));
	expect(prompts.map(item => getPreferredUpstream(item, upstreams.toReversed()))).toEqual(preferred);
	const remaining = upstreams.slice(1);
	const moved = prompts.filter((item, index) => preferred[index] !== getPreferredUpstream(item, remaining));
	expect(moved.length).toBe(preferred.filter(key => key === getUpstreamKey(buildUpstream({id: 'u0'}))).length);
	expect(new Set(preferred).size).toBeGreaterThan(9);
	expect(getPreferredUpstream({...prompt, parts: [{id: 'own', tokens: 1}]}, upstreams)).toBeUndefined();
});
