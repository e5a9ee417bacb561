import type {
	Adapter, ModelDemand, Engine, EngineOrder, EngineLoadReport, Milliseconds, Model, ModelName, UpstreamId,
} from '@gentianlift/types';

export type {ModelDemand} from '@gentianlift/types';

/**
How long conditions have lasted, so that a plan doesn't follow short fluctuations of demand.

A name is that of a model or an adapter.
*/
export type PlanHistory = {
	/** Since when a name has had too few slots, on the monotonic clock. */
	scarceSince: ReadonlyMap<ModelName, Milliseconds>;
	/** Since when there has been no demand for a name. */
	idleSince: ReadonlyMap<ModelName, Milliseconds>;
	/** When an engine last got an order. */
	changedAt: ReadonlyMap<UpstreamId, Milliseconds>;
};

/** An order for one engine. */
export type PlannedOrder = {engine: Engine; order: EngineOrder};

/** Transfer rate of the weight store, and the bytes that it is transferring. */
export type WeightStoreRate = {bytesPerSecond: number; bytesUnderWay: number};

/** Input of a plan. */
export type PlanInput = {
	/** Moment on the monotonic clock. */
	now: Milliseconds;
	engines: Engine[];
	models: Model[];
	adapters: Adapter[];
	/** Recent load reports. */
	reports: ReadonlyMap<UpstreamId, EngineLoadReport>;
	demands: ModelDemand[];
	/** Orders whose effect no load report shows yet. */
	pending: ReadonlyMap<UpstreamId, EngineOrder>;
	/** While the rate is unknown, nothing is loaded. */
	rate: WeightStoreRate | undefined;
	history: PlanHistory;
};

/** Planned orders, and the history to pass to the next plan. */
export type Plan = {orders: PlannedOrder[]; history: PlanHistory};

/** History before the first plan. */
export const emptyPlanHistory: PlanHistory = {scarceSince: new Map(), idleSince: new Map(), changedAt: new Map()};
