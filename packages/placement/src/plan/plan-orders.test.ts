import {expect, test} from 'vitest';
import type {Engine, EngineLoadReport} from '@gentianlift/types';
import {
	changeCooldown, minShortageDuration, emptyPlanHistory, planOrders, minIdleDuration, type ModelDemand, type PlanInput,
} from '../index.js';

const getEngine = (id: string, change: Partial<Engine> = {}): Engine => ({
	id, address: '127.0.0.1:1', zone: 'a', models: ['small', 'large'], adapters: ['quotes'], role: 'mixed', accelerators: 1, slots: 8, fencing: 'checked', ...change,
});

const getReport = (models: string[], change: Partial<EngineLoadReport> = {}): EngineLoadReport => ({
	at: 0, running: 0, waiting: 0, cacheUse: 0, tokensPerSecond: 0, models, adapters: [], role: 'mixed', leaving: false, ...change,
});

const getDemand = (needs: string, change: Partial<ModelDemand> = {}): ModelDemand => ({
	className: needs, needs, rank: 0, running: 0, waiting: 0, serviceTime: 4000, target: 1000, ...change,
});

const getInput = (change: Partial<PlanInput> = {}): PlanInput => ({
	now: 0,
	engines: [getEngine('e1'), getEngine('e2'), getEngine('e3')],
	models: [{name: 'small', bytes: 1e9, contextTokens: 1}, {name: 'large', bytes: 1e9, contextTokens: 1}],
	adapters: [],
	reports: new Map([['e1', getReport(['small'])], ['e2', getReport(['small', 'large'])], ['e3', getReport(['large'])]]),
	demands: [],
	pending: new Map(),
	rate: {bytesPerSecond: 1e9, bytesUnderWay: 0},
	history: emptyPlanHistory,
	...change,
});

const excessDemand = [getDemand('small', {running: 16, waiting: 8})];

test('loads models that no engine has, the highest tier first', () => {
	const reports = new Map([['e1', getReport([])], ['e2', getReport([])]]);
	const {orders} = planOrders(getInput({reports, demands: [getDemand('large', {running: 1})]}));
	expect(orders.map(({engine, order}) => [engine.id, order.kind === 'load' && order.model])).toEqual([['e1', 'large'], ['e2', 'small']]);
});

test('loads on a lasting shortage, not on a short one', () => {
	const first = planOrders(getInput({demands: excessDemand}));
	const later = planOrders(getInput({demands: excessDemand, now: minShortageDuration, history: first.history}));
	const withoutDemand = planOrders(getInput({now: minShortageDuration - 1, history: first.history}));
	const afterGap = planOrders(getInput({demands: excessDemand, now: minShortageDuration, history: withoutDemand.history}));
	expect([first.orders, afterGap.orders]).toEqual([[], []]);
	expect(later.orders).toMatchObject([{engine: {id: 'e3'}, order: {kind: 'load', model: 'small'}}]);
});

test('counts a pending load as loaded', () => {
	const history = {...emptyPlanHistory, scarceSince: new Map([['small', 0]])};
	const {orders} = planOrders(getInput({
		demands: [getDemand('small', {running: 18})], now: minShortageDuration, history, pending: new Map([['e3', {kind: 'load', model: 'small', version: 'newest'}]]),
	}));
	expect(orders).toEqual([]);
});

test('does not change an engine during its cooldown', () => {
	const history = {...emptyPlanHistory, scarceSince: new Map([['small', 0]]), changedAt: new Map([['e3', 0]])};
	expect(planOrders(getInput({demands: excessDemand, now: changeCooldown - 1, history})).orders).toEqual([]);
	expect(planOrders(getInput({demands: excessDemand, now: changeCooldown, history})).orders).toHaveLength(1);
});

test('does not load on an engine that a higher tier fully uses', () => {
	const history = {...emptyPlanHistory, scarceSince: new Map([['small', 0]])};
	const reports = new Map([['e1', getReport(['small'], {running: 8})], ['e3', getReport(['large'], {running: 8})]]);
	const demands = [getDemand('small', {running: 8, waiting: 8, rank: 1}), getDemand('large', {running: 8, waiting: 2, rank: 0})];
	expect(planOrders(getInput({
		demands, now: minShortageDuration, history, reports,
	})).orders).toEqual([]);
});

test('limits loads to the transfer rate of the weight store', () => {
	const reports = new Map([['e1', getReport([])], ['e2', getReport([])]]);
	const getOrders = (rate: PlanInput['rate']) => planOrders(getInput({reports, rate})).orders.length;
	expect(getOrders({bytesPerSecond: 1e9, bytesUnderWay: 0})).toBe(2);
	expect(getOrders({bytesPerSecond: 1e7, bytesUnderWay: 0})).toBe(1);
	expect(getOrders({bytesPerSecond: 1e7, bytesUnderWay: 1})).toBe(0);
	expect(getOrders(undefined)).toBe(0);
});

test('loads the model before its adapter, on the same engine', () => {
	const input = getInput({
		engines: [getEngine('e1'), getEngine('e2')], models: [{name: 'small', bytes: 1, contextTokens: 1}], adapters: [{name: 'quotes', model: 'small', bytes: 1}],
	});
	const empty = new Map([['e1', getReport([])], ['e2', getReport([])]]);
	const first = planOrders({...input, reports: empty, demands: [getDemand('quotes', {waiting: 1})]});
	const waiting = planOrders({
		...input, reports: empty, demands: [getDemand('quotes', {waiting: 1})], pending: new Map([['e1', {kind: 'load', model: 'small', version: 'newest'}]]),
	});
	const second = planOrders({...input, reports: new Map([['e1', getReport(['small'])], ['e2', getReport([])]]), history: first.history});
	expect(first.orders).toMatchObject([{engine: {id: 'e1'}, order: {kind: 'load', model: 'small'}}]);
	expect(waiting.orders).toEqual([]);
	expect(second.orders).toMatchObject([{engine: {id: 'e1'}, order: {kind: 'load-adapter', adapter: 'quotes'}}]);
});

test('unloads an idle model only where another has too few slots, and keeps replicas', () => {
	const both = getReport(['small', 'large']);
	const engines = [getEngine('e1'), getEngine('e2'), getEngine('e3')];
	const history = {...emptyPlanHistory, idleSince: new Map([['large', 0]]), scarceSince: new Map()};
	const input = getInput({
		engines, now: minIdleDuration, history, reports: new Map([['e1', both], ['e2', both], ['e3', both]]),
	});
	expect(planOrders({...input, demands: [getDemand('small', {running: 12})]}).orders).toEqual([]);
	const busy = [getDemand('small', {running: 24})];
	expect(planOrders({...input, demands: busy}).orders).toMatchObject([{order: {kind: 'unload', model: 'large'}}]);
	const fewer = new Map([['e1', both], ['e2', both]]);
	expect(planOrders({...input, reports: fewer, demands: busy}).orders).toEqual([]);
});

test('demand that fluctuates around the limit changes nothing', () => {
	let history = emptyPlanHistory;
	const orders = Array.from({length: 120}, (_, second) => {
		const demands = second % 4 === 0 ? [] : excessDemand;
		const plan = planOrders(getInput({now: second * 1000, demands, history}));
		({history} = plan);
		return plan.orders.length;
	});
	expect(Math.max(...orders)).toBe(0);
});

test('restores the role of the inventory', () => {
	const reports = new Map([['e1', getReport(['small', 'large'], {role: 'decode'})]]);
	expect(planOrders(getInput({engines: [getEngine('e1')], reports})).orders).toMatchObject([{order: {kind: 'change-role', role: 'mixed'}}]);
});
