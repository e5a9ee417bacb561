import {expect, test} from 'vitest';
import {createTestConfiguration, createTestFleet, type TestFleet} from './testing/fleet.js';
import {getAttainment, type RequestStream, runLoad} from './testing/load.js';

const hostIds = ['a', 'b', 'c', 'd', 'e', 'f', 'g'];
const duration = 20_000;
const quote: RequestStream = {
	name: 'quote', rank: 0, customer: 'buyer', rate: 10, tokens: 50, firstTokenTarget: 1000,
};
const review: RequestStream = {
	name: 'review', rank: 1, customer: 'office', rate: 20, tokens: 200, firstTokenTarget: 20_000,
};

const sumMetric = (fleet: TestFleet, name: string, labels?: Record<string, string>): number =>
	fleet.hosts.reduce((sum, host) => sum + host.metrics.getValue(name, labels), 0);

const expectNoPriorityInversion = (fleet: TestFleet): void => {
	expect(sumMetric(fleet, 'grants_past_higher', {by: 'other'})).toBe(0);
	for (const reason of ['outranked', 'queue-full', 'queue-age']) {
		expect(sumMetric(fleet, 'sheds_while_lower_waits', {reason, rank: '0'})).toBe(0);
	}
};

test('the top tier meets its target under load far beyond capacity', async () => {
	const fleet = createTestFleet(createTestConfiguration([6, 6], 0.05), hostIds);
	const results = await runLoad(fleet, [quote, review], duration);
	expect(getAttainment(results, 'quote')).toBeGreaterThan(0.98);
	expect(results.get('review')!.met).toBeGreaterThan(0);
	expectNoPriorityInversion(fleet);
});

test('a floor is served under sustained load from a higher tier', async () => {
	const fleet = createTestFleet(createTestConfiguration([4, 4], 0.1), hostIds);
	const results = await runLoad(fleet, [{...quote, rate: 40}, {
		...review, rate: 2, tokens: 50, firstTokenTarget: 60_000,
	}], duration);
	const service = results.get('review')!.service / (results.get('review')!.service + results.get('quote')!.service);
	expect(service).toBeGreaterThan(0.08);
	expectNoPriorityInversion(fleet);
});

test('a customer that floods the queue gets no more than its fair share', async () => {
	const fleet = createTestFleet(createTestConfiguration([6, 6], 0), hostIds);
	const calm = {
		...quote, name: 'calm', customer: 'calm', rate: 4,
	};
	const results = await runLoad(fleet, [calm, {
		...quote, name: 'flood', customer: 'flood', rate: 60,
	}], duration);
	expect(getAttainment(results, 'calm')).toBeGreaterThan(0.95);
});

test('customers get service in proportion to their weights', async () => {
	const fleet = createTestFleet(createTestConfiguration([4], 0), hostIds);
	const streams = [1, 3].map(weight => ({
		...quote, name: `w${weight}`, customer: `w${weight}`, weight, rate: 40,
	}));
	const results = await runLoad(fleet, streams, duration);
	const ratio = results.get('w3')!.service / results.get('w1')!.service;
	expect(ratio).toBeGreaterThan(2.3);
	expect(ratio).toBeLessThan(3.7);
});

test('long runs are preempted for a burst and resume later', async () => {
	const fleet = createTestFleet(createTestConfiguration([4], 0), hostIds);
	const results = await runLoad(fleet, [
		{
			...review, rate: 2, tokens: 900, firstTokenTarget: 60_000,
		}, {...quote, rate: 1, firstTokenTarget: 600},
	], duration);
	expect(results.get('review')!.preempted).toBeGreaterThan(0);
	expect(getAttainment(results, 'quote')).toBeGreaterThan(0.9);
	expectNoPriorityInversion(fleet);
});

test('a straggler gets little', async () => {
	const fleet = createTestFleet(createTestConfiguration([4, 4, 4, 4], 0), hostIds);
	const results = await runLoad(fleet, [{...quote, rate: 15}], duration, new Map([['e1', 6]]));
	const overviews = fleet.hosts[0]!.owner.getOverview()[0]!.upstreams;
	expect(overviews.find(({upstream}) => upstream === 'e1')!.timePerOutputToken).toBeGreaterThan(30);
	expect(getAttainment(results, 'quote')).toBeGreaterThan(0.95);
});

test('every request is answered despite lost, duplicated and delayed messages', async () => {
	const fleet = createTestFleet(createTestConfiguration([4, 4], 0.05), hostIds, 3);
	fleet.network.lossProbability = 0.05;
	fleet.network.duplicationProbability = 0.05;
	fleet.network.maxDelay = 20;
	const results = await runLoad(fleet, [{...quote, rate: 5}, {...review, rate: 2}], duration);
	await fleet.clock.advance(10_000);
	for (const result of results.values()) {
		expect(result.met + result.late + result.shed).toBe(result.sent);
	}

	expect(getAttainment(results, 'quote')).toBeGreaterThan(0.9);
	expect(fleet.hosts.map(host => host.client.getCounts())).toEqual(hostIds.map(() => ({waiting: 0, running: 0, bytes: 0})));
	expect(fleet.hosts[0]!.owner.getOverview()[0]!.ranks.every(({waiting, running}) => waiting + running === 0)).toBe(true);
});

test('few slots stay idle when messages are slow', async () => {
	const fleet = createTestFleet(createTestConfiguration([4, 4], 0), hostIds);
	fleet.network.maxDelay = 80;
	const results = await runLoad(fleet, [{...quote, rate: 50, tokens: 3}], 10_000);
	expect(getAttainment(results, 'quote')).toBeGreaterThan(0.95);
});
