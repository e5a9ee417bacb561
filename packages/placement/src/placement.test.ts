import {expect, test} from 'vitest';
import {createManualClock, createRandom} from '@gentianlift/clock';
import {createMetrics} from '@gentianlift/metrics';
import {createMemoryKeyValue} from '@gentianlift/platform';
import type {
	Configuration, Engine, FencedOrder, EngineLoadReport, OrderOutcome,
} from '@gentianlift/types';
import {createPlacement, defaultTiming, type SendOrder} from './index.js';

const engine: Engine = {
	id: 'e1', address: '127.0.0.1:1', zone: 'a', models: ['small'], adapters: [], role: 'mixed', accelerators: 1, slots: 8, fencing: 'checked',
};

const getConfiguration = (fencing: Engine['fencing']): Configuration => ({
	inventory: {
		engines: [{...engine, fencing}], models: [{name: 'small', bytes: 1, contextTokens: 1}], adapters: [], services: [], customers: [],
	},
	rules: {tiers: [], classes: []},
});

const createSetup = (outcomes: OrderOutcome[], fencing: Engine['fencing'] = 'checked') => {
	const clock = createManualClock();
	const keyValue = createMemoryKeyValue({clock, random: createRandom(1)});
	const sent: FencedOrder[] = [];
	const report: EngineLoadReport = {
		at: 0, running: 0, waiting: 0, cacheUse: 0, tokensPerSecond: 0, models: [], adapters: [], role: 'mixed', leaving: false,
	};
	const sendOrder: SendOrder = async (_, order) => {
		sent.push(order);
		return outcomes.shift() ?? {kind: 'accepted'};
	};

	const createHostPlacement = (host: string) => createPlacement({
		clock, keyValue, sendOrder, random: createRandom(3), metrics: createMetrics(), self: {host, incarnation: 1},
		weightStore: {readBandwidth: async () => ({bytesPerSecond: 1e9, bytesUnderWay: 0})},
		getDemands: () => [],
		getConfiguration: () => getConfiguration(fencing),
		getLoadReports: () => new Map([['e1', report]]),
	});
	return {
		clock, sent, report, createHostPlacement,
	};
};

test('retries an order of unknown outcome under the same id until it is accepted', async () => {
	const {clock, sent, createHostPlacement} = createSetup([{kind: 'unknown', reason: 'silent'}]);
	const placement = createHostPlacement('a');
	placement.start();
	await clock.advance(20_000);
	expect(sent.map(({id}) => id)).toEqual(['1.1', '1.1']);
	await placement.stop();
});

test('a stale outcome ends the term, and the next one has a higher fencing number', async () => {
	const {clock, sent, createHostPlacement} = createSetup([{kind: 'stale', highest: 7}]);
	const placement = createHostPlacement('a');
	placement.start();
	await clock.advance(20_000);
	expect(sent.map(({fencingNumber}) => fencingNumber)).toEqual([1, 2]);
	await placement.stop();
});

test('waits for earlier orders to end before it sends to an engine that ignores fencing numbers', async () => {
	const {clock, sent, createHostPlacement} = createSetup([], 'ignored');
	const placement = createHostPlacement('a');
	placement.start();
	await clock.advance(defaultTiming.maxOrderLifetime - 1);
	expect(sent).toEqual([]);
	await clock.advance(3 * defaultTiming.planInterval);
	expect(sent).toHaveLength(1);
	await placement.stop();
});

test('sends nothing after a pause beyond the lease until it holds a new one', async () => {
	const {clock, sent, report, createHostPlacement} = createSetup([]);
	const placement = createHostPlacement('a');
	report.models.push('small');
	placement.start();
	await clock.advance(3000);
	report.models.pop();
	clock.pause(defaultTiming.leaseDuration);
	await clock.advance(0);
	expect(sent).toEqual([]);
	await clock.advance(20_000);
	expect(sent.map(({fencingNumber}) => fencingNumber)).toEqual([2]);
	await placement.stop();
});
