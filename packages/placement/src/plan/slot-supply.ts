import type {
	Engine, ModelName, Rank, UpstreamId,
} from '@gentianlift/types';
import type {ModelDemand, PlanInput} from './types.js';

/** Number of slots demanded of a model or adapter, and the highest tier with demand for it. */
export type SlotDemand = {slots: number; rank: Rank};

/** Models and adapters that an engine has loaded or is loading, and its utilisation: requests per slot, including waiting ones. */
export type EngineState = {engine: Engine; loaded: ReadonlySet<ModelName>; isLeaving: boolean; utilisation: number};

/** Returns the number of slots for a demand: those in use, and as many as start all waiting requests within their target. */
export const getDemandedSlots = ({running, waiting, serviceTime, target}: ModelDemand): number =>
	running + (waiting * Math.min(1, serviceTime / target));

/** Sums demands by model or adapter. */
export const getSlotDemands = (demands: ModelDemand[]): Map<ModelName, SlotDemand> => {
	const slotDemands = new Map<ModelName, SlotDemand>();
	for (const demand of demands) {
		const previous = slotDemands.get(demand.needs);
		slotDemands.set(demand.needs, {
			slots: (previous?.slots ?? 0) + getDemandedSlots(demand),
			rank: Math.min(previous?.rank ?? demand.rank, demand.rank),
		});
	}

	return slotDemands;
};

const getPendingLoads = (input: PlanInput, id: UpstreamId): ModelName[] => {
	const order = input.pending.get(id);
	if (order === undefined) {
		return [];
	}

	switch (order.kind) {
		case 'load': {
			return [order.model];
		}

		case 'load-adapter': {
			return [order.adapter];
		}

		case 'unload':
		case 'unload-adapter':
		case 'change-role': {
			return [];
		}
	}
};

/** Returns the state of each engine that has a report, with pending loads counted as loaded. */
export const getEngineStates = (input: PlanInput): EngineState[] => input.engines.flatMap(engine => {
	const report = input.reports.get(engine.id);
	return report === undefined
		? []
		: [{
			engine,
			loaded: new Set([...report.models, ...report.adapters, ...getPendingLoads(input, engine.id)]),
			isLeaving: report.leaving,
			utilisation: (report.running + report.waiting) / engine.slots,
		}];
});

/** Returns the number of slots supplied to a name. The slots of an engine are divided among its names in proportion to demand. */
export const getSuppliedSlots = (name: ModelName, engineStates: EngineState[], slotDemands: ReadonlyMap<ModelName, SlotDemand>): number => {
	let supplied = 0;
	for (const {engine, loaded, isLeaving} of engineStates) {
		if (isLeaving || !loaded.has(name)) {
			continue;
		}

		const nameDemand = slotDemands.get(name)?.slots ?? 0;
		const totalDemand = [...loaded].reduce((sum, other) => sum + (slotDemands.get(other)?.slots ?? 0), 0);
		supplied += totalDemand === 0 ? engine.slots : engine.slots * nameDemand / totalDemand;
	}

	return supplied;
};
