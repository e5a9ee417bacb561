import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createRandom} from '@gentianlift/clock';
import type {
	Configuration, Customer, RequestClass, Ticket, Work,
} from '@gentianlift/types';
import {
	addCrash, removeSuspect, addSample, type Candidate, chooseUpstream, classifyRequest, createEstimate, decideRetry, type IncomingRequest, type FailedAttempt, getBackoff,
	getUpperEstimate, getFingerprint, getGroups, getLoad, getPrefixDigests, getSuspectStatus, getTargetsAt, maxGroupSize, isTransferFaster, type Suspects,
} from './index.js';

const customer: Customer = {
	id: 'yard', keyDigests: [], weight: 1, timeZone: 'Europe/Athens', limits: {requestsPerSecond: 1, tokensPerSecond: 1, concurrency: 1}, classes: ['quote', 'order'],
};
const quote: RequestClass = {
	name: 'quote', tier: 'high', idempotent: true, match: {models: ['m']}, expectedTokens: 10, retryShare: 0.1,
	hours: [{from: '08:00', to: '18:00', targets: {firstToken: 500}}, {from: '18:00', to: '08:00', targets: {firstToken: 5000}}],
};
const order: RequestClass = {
	...quote, name: 'order', idempotent: false, match: {service: 'cuts', method: 'POST', pathPrefix: '/v1/services/cuts/orders'}, hours: [],
};
const engine = {
	address: 'x', zone: 'a', models: ['m'], adapters: [], role: 'mixed' as const, accelerators: 1, slots: 4, fencing: 'checked' as const,
};
const configuration: Configuration = {
	inventory: {
		engines: Array.from({length: 19}, (_, index) => ({...engine, id: `e${index}`, models: index % 2 === 0 ? ['m'] : ['m', 'n']})),
		models: [{name: 'm', bytes: 1, contextTokens: 1}], adapters: [], services: [{name: 'cuts', instances: []}], customers: [customer],
	},
	rules: {tiers: [{name: 'high', outranks: [], floor: 0}], classes: [quote, order]},
};
const generation: Work = {
	kind: 'generation', model: 'm', promptTokens: 1, maxTokens: 1, stream: true, prefix: [],
};
const incoming: IncomingRequest = {
	id: 'r', customer, arrivedAt: Date.UTC(2026, 0, 5, 7), method: 'POST', path: '/v1/chat/completions', work: generation, digest: '', fingerprint: '',
};

test('chooses targets by the local time of the customer, also across changes to and from summer time', () => {
	const at = (text: string) => getTargetsAt(quote, customer, Date.parse(text)).firstToken;
	expect(at('2026-03-28T06:30:00Z')).toBe(500);
	expect(at('2026-03-28T05:30:00Z')).toBe(5000);
	expect(at('2026-03-29T05:30:00Z')).toBe(500);
	expect(at('2026-03-29T15:00:00Z')).toBe(5000);
	expect(at('2026-10-25T05:30:00Z')).toBe(5000);
});

test('classifies by the declared class, the customer\'s classes and the match rules', () => {
	expect(classifyRequest(configuration, incoming)).toMatchObject({kind: 'classified', request: {className: 'quote', rank: 0, deadline: incoming.arrivedAt + 500}});
	expect(classifyRequest(configuration, {...incoming, declaredClass: 'x'})).toMatchObject({error: 'unknown-class'});
	expect(classifyRequest(configuration, {...incoming, declaredClass: 'order'})).toMatchObject({error: 'class-not-allowed'});
	expect(classifyRequest(configuration, {...incoming, work: {...generation, model: 'x'}})).toMatchObject({error: 'unknown-model'});
	const call: Work = {
		kind: 'call', service: 'cuts', method: 'POST', path: '/orders',
	};
	const path = '/v1/services/cuts/orders';
	expect(classifyRequest(configuration, {...incoming, work: call, path})).toMatchObject({error: 'key-missing'});
	expect(classifyRequest(configuration, {
		...incoming, work: call, path, idempotencyKey: 'k',
	})).toMatchObject({kind: 'classified', request: {className: 'order', idempotent: false}});
});

test('groups upstreams independently of their order', () => {
	const {inventory} = configuration;
	fc.assert(fc.property(fc.shuffledSubarray(inventory.engines, {minLength: inventory.engines.length}), engines => {
		const groups = getGroups({...configuration, inventory: {...inventory, engines}});
		expect(groups).toEqual(getGroups(configuration));
		expect(groups.flatMap(group => group.upstreams)).toHaveLength(19);
		expect(groups.every(group => group.upstreams.length <= maxGroupSize)).toBe(true);
	}), {seed: 1, numRuns: 20});
});

const attemptArbitrary: fc.Arbitrary<FailedAttempt> = fc.record({
	ran: fc.constantFrom('ran', 'not-run', 'unknown'), idempotent: fc.boolean(),
	attempts: fc.integer({min: 1, max: 6}), slack: fc.integer({min: -100, max: 5000}), expectedDuration: fc.nat(2000), resumable: fc.boolean(), withinBudget: fc.boolean(),
});

test('retries only what may execute again, within the retry budget and the deadline', () => {
	fc.assert(fc.property(attemptArbitrary, fc.double({min: 0, max: 1, noNaN: true}), (attempt, jitter) => {
		const decision = decideRetry(attempt, jitter);
		if (decision.kind === 'retry') {
			expect(attempt.idempotent || attempt.ran === 'not-run').toBe(true);
			expect(attempt.withinBudget).toBe(true);
			expect(decision.delay + attempt.expectedDuration).toBeLessThanOrEqual(attempt.slack);
		}
	}), {seed: 1, numRuns: 1000});
});

test('backs off exponentially up to a maximum', () => {
	expect([1, 2, 3].map(attempts => getBackoff(attempts, 1))).toEqual([50, 100, 200]);
	expect(getBackoff(30, 1)).toBe(2000);
	expect(getBackoff(1, 0)).toBe(25);
});

test('a request is guilty after two crashes and cleared when it finishes', () => {
	let suspects: Suspects = addCrash(new Map(), 'e0', ['guilty', 'innocent', 'guilty'], 0);
	expect(getSuspectStatus(suspects, 'guilty', 1)).toBe('suspected');
	suspects = removeSuspect(suspects, 'innocent');
	suspects = addCrash(suspects, 'e1', ['guilty'], 10);
	expect(['guilty', 'innocent'].map(name => getSuspectStatus(suspects, name, 20))).toEqual(['guilty', 'clear']);
	expect(getSuspectStatus(suspects, 'guilty', 10_000_000)).toBe('clear');
});

test('the fingerprint ignores case and white space', () => {
	expect(getFingerprint('m', 'Cut  the\nPLATE ')).toBe(getFingerprint('m', 'cut the plate'));
	expect(getFingerprint('m', 'a')).not.toBe(getFingerprint('n', 'a'));
});

test('prefix digests are equal up to the chunk where prompts differ', () => {
	const text = 'x'.repeat(3000);
	const [first, second] = [`${text}a`, `${text.slice(0, 2500)}b`].map(prompt => getPrefixDigests('m', prompt));
	expect(first!.slice(0, 2)).toEqual(second!.slice(0, 2));
	expect(getPrefixDigests('n', text)[0]).not.toBe(first![0]);
});

const createCandidate = (id: string, change: Partial<Candidate> = {}): Candidate => ({
	upstream: {
		id, kind: 'engine', zone: 'a', role: 'mixed', slots: 8, provides: new Set(['model:m']),
	}, acceptsRequests: true, load: 0, slots: 8, relativeSpeed: 1, prefixes: new Set(), hasSuspect: false, ...change,
});
const ticket: Ticket = {
	request: 'r', attempt: 1, customer: 'c', weight: 1, className: 'k', rank: 0, slack: 0, waited: 0,
	expectedTokens: 0, promptTokens: 0, needs: ['model:m'], prefix: ['p', 'q'], avoid: [], isolated: false, idempotent: true, fingerprint: '',
};
const choose = (candidates: Candidate[], change: Partial<Ticket> = {}) =>
	chooseUpstream(candidates, {...ticket, ...change}, createRandom(1), {usePrefix: true, useSpeed: true});

test('prefers the upstream with the prefix cached until its load outweighs that', () => {
	const cached = {prefixes: new Set(['p', 'q'])};
	expect(choose([createCandidate('a'), createCandidate('b', {...cached, load: 3})])).toBe('b');
	expect(choose([createCandidate('a'), createCandidate('b', {...cached, load: 5})])).toBe('a');
});

test('never chooses a full, unavailable, avoided or unfit upstream, a straggler, or one that runs a suspect for another suspect', () => {
	expect(choose([createCandidate('a', {load: 8}), createCandidate('b', {acceptsRequests: false})])).toBeUndefined();
	expect(choose([createCandidate('a')], {avoid: ['a']})).toBeUndefined();
	expect(choose([createCandidate('a')], {needs: ['model:x']})).toBeUndefined();
	expect(choose([createCandidate('a', {hasSuspect: true})], {isolated: true})).toBeUndefined();
	expect(choose([createCandidate('a', {relativeSpeed: 0.3}), createCandidate('b', {load: 6})])).toBe('b');
});

test('the load includes reported requests of other owners, but counts none of its own twice', () => {
	const report = {
		at: 0, running: 6, waiting: 1, cacheUse: 0, tokensPerSecond: 0, models: [], adapters: [], role: 'mixed' as const, leaving: false,
	};
	expect(getLoad(5, 4, report)).toBe(8);
	expect(getLoad(5, 9, report)).toBe(5);
	expect(getLoad(5, 0, undefined)).toBe(5);
});

test('estimates converge to the samples', () => {
	let estimate = createEstimate(1000);
	for (let index = 0; index < 100; index++) {
		estimate = addSample(estimate, index % 2 === 0 ? 80 : 120);
	}

	expect(estimate.mean).toBeGreaterThan(90);
	expect(estimate.mean).toBeLessThan(110);
	expect(getUpperEstimate(estimate)).toBeGreaterThan(110);
});

test('transfers the cache of a long prefix and recomputes a short one', () => {
	const transfer = {
		bytesPerToken: 100_000, bytesPerMillisecond: 1_000_000, overhead: 50, prefillPerToken: 0.3,
	};
	expect(isTransferFaster({...transfer, prefixTokens: 4000})).toBe(true);
	expect(isTransferFaster({...transfer, prefixTokens: 100})).toBe(false);
});
