import {expect, test} from 'vitest';
import {createTestConfiguration, createTestFleet, type TestFleet} from './testing/fleet.js';
import {getAttainment, runLoad, type Stream} from './testing/load.js';

const ids = ['a', 'b', 'c', 'd', 'e', 'f', 'g'];
const duration = 20_000;
const quote: Stream = {
	name: 'quote', rank: 0, customer: 'buyer', rate: 10, tokens: 50, firstTokenTarget: 1000,
};
const review: Stream = {
	name: 'review', rank: 1, customer: 'office', rate: 20, tokens: 200, firstTokenTarget: 20_000,
};

const getTotal = (fleet: TestFleet, name: string, labels?: Record<string, string>): number =>
	fleet.hosts.reduce((sum, host) => sum + host.metrics.getValue(name, labels), 0);

const expectOrder = (fleet: TestFleet): void => {
	expect(getTotal(fleet, 'grants_past_higher', {by: 'other'})).toBe(0);
	for (const reason of ['outranked', 'queue-full', 'queue-age']) {
		expect(getTotal(fleet, 'sheds_while_lower_waits', {reason, rank: '0'})).toBe(0);
	}
};

test('the top tier keeps its target far beyond capacity', async () => {
	const fleet = createTestFleet(createTestConfiguration([6, 6], 0.05), ids);
	const results = await runLoad(fleet, [quote, review], duration);
	expect(getAttainment(results, 'quote')).toBeGreaterThan(0.98);
	expect(results.get('review')!.met).toBeGreaterThan(0);
	expectOrder(fleet);
});

test('a floor is served under endless load from above', async () => {
	const fleet = createTestFleet(createTestConfiguration([4, 4], 0.1), ids);
	const results = await runLoad(fleet, [{...quote, rate: 40}, {
		...review, rate: 2, tokens: 50, firstTokenTarget: 60_000,
	}], duration);
	const service = results.get('review')!.service / (results.get('review')!.service + results.get('quote')!.service);
	expect(service).toBeGreaterThan(0.08);
	expectOrder(fleet);
});

test('a customer that floods takes no more than its share', async () => {
	const fleet = createTestFleet(createTestConfiguration([6, 6], 0), ids);
	const calm = {
		...quote, name: 'calm', customer: 'calm', rate: 4,
	};
	const results = await runLoad(fleet, [calm, {
		...quote, name: 'flood', customer: 'flood', rate: 60,
	}], duration);
	expect(getAttainment(results, 'calm')).toBeGreaterThan(0.95);
});

test('customers share by weight', async () => {
	const fleet = createTestFleet(createTestConfiguration([4], 0), ids);
	const streams = [1, 3].map(weight => ({
		...quote, name: `w${weight}`, customer: `w${weight}`, weight, rate: 40,
	}));
	const results = await runLoad(fleet, streams, duration);
	const ratio = results.get('w3')!.service / results.get('w1')!.service;
	expect(ratio).toBeGreaterThan(2.3);
	expect(ratio).toBeLessThan(3.7);
});

test('long runs yield to a burst and go on later', async () => {
	const fleet = createTestFleet(createTestConfiguration([4], 0), ids);
	const results = await runLoad(fleet, [
		{
			...review, rate: 2, tokens: 900, firstTokenTarget: 60_000,
		}, {...quote, rate: 1, firstTokenTarget: 600},
	], duration);
	expect(results.get('review')!.yielded).toBeGreaterThan(0);
	expect(getAttainment(results, 'quote')).toBeGreaterThan(0.9);
	expectOrder(fleet);
});

test('a straggler gets little', async () => {
	const fleet = createTestFleet(createTestConfiguration([4, 4, 4, 4], 0), ids);
	const results = await runLoad(fleet, [{...quote, rate: 15}], duration, new Map([['e1', 6]]));
	const speeds = fleet.hosts[0]!.owner.getOverview()[0]!.upstreams;
	expect(speeds.find(({upstream}) => upstream === 'e1')!.timePerOutputToken).toBeGreaterThan(30);
	expect(getAttainment(results, 'quote')).toBeGreaterThan(0.95);
});

test('lost, repeated and late messages cost no request its answer', async () => {
	const fleet = createTestFleet(createTestConfiguration([4, 4], 0.05), ids, 3);
	fleet.links.loss = 0.05;
	fleet.links.repeat = 0.05;
	fleet.links.delay = 20;
	const results = await runLoad(fleet, [{...quote, rate: 5}, {...review, rate: 2}], duration);
	await fleet.clock.advance(10_000);
	for (const result of results.values()) {
		expect(result.met + result.late + result.shed).toBe(result.sent);
	}

	expect(getAttainment(results, 'quote')).toBeGreaterThan(0.9);
	expect(fleet.hosts.map(host => host.client.getCounts())).toEqual(ids.map(() => ({waiting: 0, running: 0, bytes: 0})));
	expect(fleet.hosts[0]!.owner.getOverview()[0]!.ranks.every(({waiting, running}) => waiting + running === 0)).toBe(true);
});

test('slow messages leave few slots idle', async () => {
	const fleet = createTestFleet(createTestConfiguration([4, 4], 0), ids);
	fleet.links.delay = 80;
	const results = await runLoad(fleet, [{...quote, rate: 50, tokens: 3}], 10_000);
	expect(getAttainment(results, 'quote')).toBeGreaterThan(0.95);
});
