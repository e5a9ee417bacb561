import type {
	Engine, ModelName, Rank, UpstreamId,
} from '@gentianlift/types';
import type {Demand, PlanInput} from './types.js';

/** Slots that a name needs, and the highest tier that asks for it. */
export type Want = {slots: number; rank: Rank};

/** What an engine holds or is about to hold. */
export type Holding = {engine: Engine; names: ReadonlySet<ModelName>; isLeaving: boolean; busy: number};

/** Gets the slots that a demand needs: those in use, and enough to start all that wait within their target. */
export const getWantedSlots = ({running, waiting, serviceTime, target}: Demand): number =>
	running + (waiting * Math.min(1, serviceTime / target));

/** Gets what is wanted of each name. */
export const getWants = (demands: Demand[]): Map<ModelName, Want> => {
	const wants = new Map<ModelName, Want>();
	for (const demand of demands) {
		const known = wants.get(demand.needs);
		wants.set(demand.needs, {
			slots: (known?.slots ?? 0) + getWantedSlots(demand),
			rank: Math.min(known?.rank ?? demand.rank, demand.rank),
		});
	}

	return wants;
};

const getPendingName = (input: PlanInput, id: UpstreamId): ModelName[] => {
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

/** Gets what each engine with a report holds, with loads under way taken as done. */
export const getHoldings = (input: PlanInput): Holding[] => input.engines.flatMap(engine => {
	const report = input.reports.get(engine.id);
	return report === undefined
		? []
		: [{
			engine,
			names: new Set([...report.models, ...report.adapters, ...getPendingName(input, engine.id)]),
			isLeaving: report.leaving,
			busy: (report.running + report.waiting) / engine.slots,
		}];
});

/** Gets the slots that a name has: each engine's are split in proportion to what is wanted of the names that it holds. */
export const getSupply = (name: ModelName, holdings: Holding[], wants: ReadonlyMap<ModelName, Want>): number => {
	let supply = 0;
	for (const {engine, names, isLeaving} of holdings) {
		if (isLeaving || !names.has(name)) {
			continue;
		}

		const own = wants.get(name)?.slots ?? 0;
		const all = [...names].reduce((sum, other) => sum + (wants.get(other)?.slots ?? 0), 0);
		supply += all === 0 ? engine.slots : engine.slots * own / all;
	}

	return supply;
};
