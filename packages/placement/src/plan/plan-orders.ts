import type {
	Adapter, Engine, EngineOrder, Milliseconds, ModelName, UpstreamId,
} from '@gentianlift/types';
import {getPressure, hasLasted} from './pressure.js';
import {
	getHoldings, getSupply, getWants, type Holding, type Want,
} from './supply.js';
import type {
	Plan, PlanInput, PlannedOrder, Pressure,
} from './types.js';

/** How long a name must be short of slots before it is loaded once more. */
export const loadAfter: Milliseconds = 5000;
/** How long nobody must have asked for a name before it is unloaded. */
export const unloadAfter: Milliseconds = 600_000;
/** How long an engine is left alone after a change. */
export const coolDown: Milliseconds = 60_000;
/** Longest time that the weight store may take for all that is under way. */
export const longestLoad: Milliseconds = 60_000;
/** Slots that a name gets beyond those wanted. */
const headroom = 1.2;
/** Engines on which a name stays when it is unloaded elsewhere. */
const minimumReplicas = 2;
const millisecondsPerSecond = 1000;
/** Version that a load asks for, as the inventory names none. */
const newestVersion = 'newest';

type Situation = {
	input: PlanInput;
	wants: ReadonlyMap<ModelName, Want>;
	holdings: Holding[];
	pressure: Pressure;
	/** Names with too few slots, the highest tier first. */
	short: ModelName[];
	/** Names that no engine holds. */
	missing: ModelName[];
};

const isChangeable = ({input, pressure}: Situation, {id}: Engine): boolean => {
	const changedAt = pressure.changedAt.get(id);
	return !input.pending.has(id) && (changedAt === undefined || input.now - changedAt >= coolDown);
};

const findAdapter = ({adapters}: PlanInput, name: ModelName): Adapter | undefined => adapters.find(adapter => adapter.name === name);

/** Whether a name may be loaded on an engine that was changed lately: one that nobody holds, or an adapter whose model is there. */
const isUrgent = ({input, missing}: Situation, {engine, names}: Holding, name: ModelName): boolean => {
	const adapter = findAdapter(input, name);
	const isFollowing = adapter !== undefined && names.has(adapter.model);
	return !input.pending.has(engine.id) && (isFollowing || missing.includes(name));
};

/** Whether the model of an adapter is on its way to an engine that will take the adapter. */
const isModelUnderWay = ({input}: Situation, name: ModelName): boolean => {
	const adapter = findAdapter(input, name);
	return adapter !== undefined && input.engines.some(engine => {
		const order = input.pending.get(engine.id);
		return engine.adapters.includes(name) && order?.kind === 'load' && order.model === adapter.model;
	});
};

const mayHold = (engine: Engine, name: ModelName): boolean => engine.models.includes(name) || engine.adapters.includes(name);

const countHolders = (holdings: Holding[], name: ModelName): number =>
	holdings.filter(({names, isLeaving}) => names.has(name) && !isLeaving).length;

/** Whether an engine has slots that a tier may take: free ones, or those of lower tiers. */
const hasRoom = ({wants}: Situation, {busy, names}: Holding, rank: number): boolean =>
	busy < 1 || [...names].some(name => (wants.get(name)?.rank ?? -1) > rank);

const getLoadOrder = ({input}: Situation, holding: Holding, name: ModelName): EngineOrder => {
	const adapter = findAdapter(input, name);
	if (adapter === undefined) {
		return {kind: 'load', model: name, version: newestVersion};
	}

	return holding.names.has(adapter.model)
		? {kind: 'load-adapter', adapter: name}
		: {kind: 'load', model: adapter.model, version: newestVersion};
};

const planLoad = (situation: Situation, name: ModelName): PlannedOrder | undefined => {
	if (isModelUnderWay(situation, name)) {
		return undefined;
	}

	const rank = situation.wants.get(name)?.rank ?? Number.POSITIVE_INFINITY;
	const model = findAdapter(situation.input, name)?.model ?? name;
	const candidates = situation.holdings
		.filter(({engine, names, isLeaving}) => !isLeaving && !names.has(name) && mayHold(engine, name))
		.filter(holding => isChangeable(situation, holding.engine) || isUrgent(situation, holding, name))
		.filter(holding => situation.missing.includes(name) || hasRoom(situation, holding, rank))
		.toSorted((left, right) => Number(right.names.has(model)) - Number(left.names.has(model)) || left.busy - right.busy);
	const [chosen] = candidates;
	return chosen === undefined ? undefined : {engine: chosen.engine, order: getLoadOrder(situation, chosen, name)};
};

const getBytes = ({models, adapters}: PlanInput, order: EngineOrder): number => {
	switch (order.kind) {
		case 'load': {
			return models.find(({name}) => name === order.model)?.bytes ?? 0;
		}

		case 'load-adapter': {
			return adapters.find(({name}) => name === order.adapter)?.bytes ?? 0;
		}

		case 'unload':
		case 'unload-adapter':
		case 'change-role': {
			return 0;
		}
	}
};

/** Takes loads in order as long as the weight store can bring them in time; a lone load always fits. */
const limitLoads = (input: PlanInput, orders: PlannedOrder[]): PlannedOrder[] => {
	if (input.rate === undefined) {
		return [];
	}

	const limit = input.rate.bytesPerSecond * longestLoad / millisecondsPerSecond;
	let bytes = input.rate.bytesUnderWay;
	return orders.filter(({order}) => {
		const next = bytes + getBytes(input, order);
		const isTaken = bytes === 0 || next <= limit;
		bytes = isTaken ? next : bytes;
		return isTaken;
	});
};

const planLoads = (situation: Situation): PlannedOrder[] => {
	const {input, missing, short, pressure} = situation;
	const lasting = short.filter(name => hasLasted(pressure.shortSince.get(name), input.now, loadAfter));
	const taken = new Set<UpstreamId>();
	const loaded = new Set<ModelName>();
	const orders: PlannedOrder[] = [];
	for (const name of new Set([...missing, ...lasting])) {
		const free = situation.holdings.filter(({engine}) => !taken.has(engine.id));
		const planned = loaded.has(name) ? undefined : planLoad({...situation, holdings: free}, name);
		if (planned !== undefined) {
			taken.add(planned.engine.id);
			loaded.add(planned.order.kind === 'load' ? planned.order.model : name);
			orders.push(planned);
		}
	}

	return limitLoads(input, orders);
};

const getUnloadOrder = ({input}: Situation, name: ModelName): EngineOrder =>
	findAdapter(input, name) === undefined ? {kind: 'unload', model: name} : {kind: 'unload-adapter', adapter: name};

/** Plans to free an engine's memory of an idle name, where another name on the engine is short of slots. */
const planUnloads = (situation: Situation): PlannedOrder[] => {
	const {input, pressure, holdings, short} = situation;
	const idle = [...pressure.idleSince].filter(([, since]) => hasLasted(since, input.now, unloadAfter)).map(([name]) => name);
	return idle.flatMap(name => {
		const isNeeded = input.adapters.some(adapter => adapter.model === name && situation.wants.has(adapter.name));
		if (isNeeded || countHolders(holdings, name) <= minimumReplicas) {
			return [];
		}

		const holding = holdings.find(({engine, names}) =>
			names.has(name) && isChangeable(situation, engine) && short.some(other => names.has(other)));
		return holding === undefined ? [] : [{engine: holding.engine, order: getUnloadOrder(situation, name)}];
	});
};

const planRoles = (situation: Situation): PlannedOrder[] => situation.holdings
	.filter(({engine}) => situation.input.reports.get(engine.id)?.role !== engine.role && isChangeable(situation, engine))
	.map(({engine}) => ({engine, order: {kind: 'change-role', role: engine.role}}));

const getSituation = (input: PlanInput): Situation => {
	const wants = getWants(input.demands);
	const holdings = getHoldings(input);
	const names = [...input.models, ...input.adapters].map(({name}) => name);
	const getRank = (name: ModelName): number => wants.get(name)?.rank ?? Number.POSITIVE_INFINITY;
	const byRank = names.toSorted((left, right) => getRank(left) - getRank(right));
	const short = byRank.filter(name => (wants.get(name)?.slots ?? 0) * headroom > getSupply(name, holdings, wants));
	const idle = names.filter(name => (wants.get(name)?.slots ?? 0) === 0);
	return {
		input, wants, holdings, short,
		pressure: getPressure(input.pressure, input.now, {short, idle}),
		missing: byRank.filter(name => countHolders(holdings, name) === 0),
	};
};

/** Plans orders from demand, at most one for each engine; loads for the highest tier come first. */
export const planOrders = (input: PlanInput): Plan => {
	const situation = getSituation(input);
	const orders = new Map<UpstreamId, PlannedOrder>();
	for (const planned of [...planRoles(situation), ...planLoads(situation), ...planUnloads(situation)]) {
		if (!orders.has(planned.engine.id)) {
			orders.set(planned.engine.id, planned);
		}
	}

	const changedAt = new Map([...situation.pressure.changedAt, ...[...orders.keys()].map((id): [UpstreamId, Milliseconds] => [id, input.now])]);
	return {orders: [...orders.values()], pressure: {...situation.pressure, changedAt}};
};
