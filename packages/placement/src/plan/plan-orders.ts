import type {
	Adapter, Engine, EngineOrder, Milliseconds, ModelName, UpstreamId,
} from '@gentianlift/types';
import {updatePlanHistory, hasLasted} from './plan-history.js';
import {
	getEngineStates, getSuppliedSlots, getSlotDemands, type EngineState, type SlotDemand,
} from './slot-supply.js';
import type {
	Plan, PlanInput, PlannedOrder, PlanHistory,
} from './types.js';

/** Time for which a name must have had too few slots before it is loaded on another engine. */
export const minShortageDuration: Milliseconds = 5000;
/** Time without demand for a name after which it may be unloaded. */
export const minIdleDuration: Milliseconds = 600_000;
/** Minimum time between two changes of an engine; a model or adapter that is missing altogether may be loaded sooner. */
export const changeCooldown: Milliseconds = 60_000;
/** Maximum time in which the weight store must be able to transfer all loads in progress. */
export const maxLoadDuration: Milliseconds = 60_000;
/** Factor by which the supplied slots should exceed the demanded ones. */
const slotHeadroom = 1.2;
/** Number of engines on which an idle name stays loaded. */
const minReplicas = 2;
const millisecondsPerSecond = 1000;
/** Version to load, as the inventory specifies none. */
const newestVersion = 'newest';

/** Plan input with the values derived from it. */
type PlanContext = {
	input: PlanInput;
	slotDemands: ReadonlyMap<ModelName, SlotDemand>;
	engineStates: EngineState[];
	history: PlanHistory;
	/** Names with too few slots, the highest tier first. */
	scarceNames: ModelName[];
	/** Names that are loaded on no engine, the highest tier first. */
	missingNames: ModelName[];
};

/** Whether an engine has no pending order and is past its cooldown. */
const isChangeable = ({input, history}: PlanContext, {id}: Engine): boolean => {
	const changedAt = history.changedAt.get(id);
	return !input.pending.has(id) && (changedAt === undefined || input.now - changedAt >= changeCooldown);
};

const findAdapter = ({adapters}: PlanInput, name: ModelName): Adapter | undefined => adapters.find(adapter => adapter.name === name);

/** Whether a name may be loaded on an engine during its cooldown: one that is loaded nowhere, or an adapter whose model the engine has. */
const isExemptFromCooldown = ({input, missingNames}: PlanContext, {engine, loaded}: EngineState, name: ModelName): boolean => {
	const adapter = findAdapter(input, name);
	const isModelLoaded = adapter !== undefined && loaded.has(adapter.model);
	return !input.pending.has(engine.id) && (isModelLoaded || missingNames.includes(name));
};

/** Whether the model of an adapter is being loaded on an engine that may load the adapter next. */
const isModelLoading = ({input}: PlanContext, name: ModelName): boolean => {
	const adapter = findAdapter(input, name);
	return adapter !== undefined && input.engines.some(engine => {
		const order = input.pending.get(engine.id);
		return engine.adapters.includes(name) && order?.kind === 'load' && order.model === adapter.model;
	});
};

/** Whether the inventory allows a name on an engine. */
const isConfiguredFor = (engine: Engine, name: ModelName): boolean => engine.models.includes(name) || engine.adapters.includes(name);

const countReplicas = (engineStates: EngineState[], name: ModelName): number =>
	engineStates.filter(({loaded, isLeaving}) => loaded.has(name) && !isLeaving).length;

/** Whether an engine has slots for a tier: free ones, or those in use by names that only lower tiers request. */
const hasCapacityFor = ({slotDemands}: PlanContext, {utilisation, loaded}: EngineState, rank: number): boolean =>
	utilisation < 1 || [...loaded].some(name => (slotDemands.get(name)?.rank ?? -1) > rank);

/** Returns the order that loads a name on an engine; for an adapter without its model, the order that loads the model first. */
const getLoadOrder = ({input}: PlanContext, engineState: EngineState, name: ModelName): EngineOrder => {
	const adapter = findAdapter(input, name);
	if (adapter === undefined) {
		return {kind: 'load', model: name, version: newestVersion};
	}

	return engineState.loaded.has(adapter.model)
		? {kind: 'load-adapter', adapter: name}
		: {kind: 'load', model: adapter.model, version: newestVersion};
};

/** Plans to load a name on an eligible engine, preferring one that has the model of an adapter, then the least utilised one. */
const planLoad = (context: PlanContext, name: ModelName): PlannedOrder | undefined => {
	if (isModelLoading(context, name)) {
		return undefined;
	}

	const rank = context.slotDemands.get(name)?.rank ?? Number.POSITIVE_INFINITY;
	const model = findAdapter(context.input, name)?.model ?? name;
	const candidates = context.engineStates
		.filter(({engine, loaded, isLeaving}) => !isLeaving && !loaded.has(name) && isConfiguredFor(engine, name))
		.filter(engineState => isChangeable(context, engineState.engine) || isExemptFromCooldown(context, engineState, name))
		.filter(engineState => context.missingNames.includes(name) || hasCapacityFor(context, engineState, rank))
		.toSorted((left, right) => Number(right.loaded.has(model)) - Number(left.loaded.has(model)) || left.utilisation - right.utilisation);
	const [chosen] = candidates;
	return chosen === undefined ? undefined : {engine: chosen.engine, order: getLoadOrder(context, chosen, name)};
};

/** Returns the bytes that an order loads from the weight store. */
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

/** Keeps the loads, in order, that the weight store can transfer within `maxLoadDuration`; a load is always kept if no other is in progress. */
const limitLoads = (input: PlanInput, orders: PlannedOrder[]): PlannedOrder[] => {
	if (input.rate === undefined) {
		return [];
	}

	const limit = input.rate.bytesPerSecond * maxLoadDuration / millisecondsPerSecond;
	let bytes = input.rate.bytesUnderWay;
	return orders.filter(({order}) => {
		const next = bytes + getBytes(input, order);
		const isKept = bytes === 0 || next <= limit;
		bytes = isKept ? next : bytes;
		return isKept;
	});
};

/** Plans loads of names that are loaded nowhere or have had too few slots for some time, one load per engine. */
const planLoads = (context: PlanContext): PlannedOrder[] => {
	const {input, missingNames, scarceNames, history} = context;
	const lastingShortages = scarceNames.filter(name => hasLasted(history.scarceSince.get(name), input.now, minShortageDuration));
	const usedEngines = new Set<UpstreamId>();
	const plannedNames = new Set<ModelName>();
	const orders: PlannedOrder[] = [];
	for (const name of new Set([...missingNames, ...lastingShortages])) {
		const availableEngines = context.engineStates.filter(({engine}) => !usedEngines.has(engine.id));
		const planned = plannedNames.has(name) ? undefined : planLoad({...context, engineStates: availableEngines}, name);
		if (planned !== undefined) {
			usedEngines.add(planned.engine.id);
			plannedNames.add(planned.order.kind === 'load' ? planned.order.model : name);
			orders.push(planned);
		}
	}

	return limitLoads(input, orders);
};

const getUnloadOrder = ({input}: PlanContext, name: ModelName): EngineOrder =>
	findAdapter(input, name) === undefined ? {kind: 'unload', model: name} : {kind: 'unload-adapter', adapter: name};

/** Plans to unload idle names from engines on which another name has too few slots. */
const planUnloads = (context: PlanContext): PlannedOrder[] => {
	const {input, history, engineStates, scarceNames} = context;
	const idle = [...history.idleSince].filter(([, since]) => hasLasted(since, input.now, minIdleDuration)).map(([name]) => name);
	return idle.flatMap(name => {
		const isNeeded = input.adapters.some(adapter => adapter.model === name && context.slotDemands.has(adapter.name));
		if (isNeeded || countReplicas(engineStates, name) <= minReplicas) {
			return [];
		}

		const engineState = engineStates.find(({engine, loaded}) =>
			loaded.has(name) && isChangeable(context, engine) && scarceNames.some(other => loaded.has(other)));
		return engineState === undefined ? [] : [{engine: engineState.engine, order: getUnloadOrder(context, name)}];
	});
};

/** Plans changes of role for engines whose role differs from the inventory. */
const planRoles = (context: PlanContext): PlannedOrder[] => context.engineStates
	.filter(({engine}) => context.input.reports.get(engine.id)?.role !== engine.role && isChangeable(context, engine))
	.map(({engine}) => ({engine, order: {kind: 'change-role', role: engine.role}}));

const createPlanContext = (input: PlanInput): PlanContext => {
	const slotDemands = getSlotDemands(input.demands);
	const engineStates = getEngineStates(input);
	const allNames = [...input.models, ...input.adapters].map(({name}) => name);
	const getRank = (name: ModelName): number => slotDemands.get(name)?.rank ?? Number.POSITIVE_INFINITY;
	const byRank = allNames.toSorted((left, right) => getRank(left) - getRank(right));
	const scarceNames = byRank.filter(name => (slotDemands.get(name)?.slots ?? 0) * slotHeadroom > getSuppliedSlots(name, engineStates, slotDemands));
	const idle = allNames.filter(name => (slotDemands.get(name)?.slots ?? 0) === 0);
	return {
		input, slotDemands, engineStates, scarceNames,
		history: updatePlanHistory(input.history, input.now, {scarce: scarceNames, idle}),
		missingNames: byRank.filter(name => countReplicas(engineStates, name) === 0),
	};
};

/** Plans orders from demand, at most one per engine: changes of role come first, then loads in order of tier, then unloads. */
export const planOrders = (input: PlanInput): Plan => {
	const context = createPlanContext(input);
	const orders = new Map<UpstreamId, PlannedOrder>();
	for (const planned of [...planRoles(context), ...planLoads(context), ...planUnloads(context)]) {
		if (!orders.has(planned.engine.id)) {
			orders.set(planned.engine.id, planned);
		}
	}

	const changedAt = new Map([...context.history.changedAt, ...[...orders.keys()].map((id): [UpstreamId, Milliseconds] => [id, input.now])]);
	return {orders: [...orders.values()], history: {...context.history, changedAt}};
};
