import type {
	Adapter, Demand, Engine, EngineOrder, LoadReport, Milliseconds, Model, ModelName, UpstreamId,
} from '@gentianlift/types';

export type {Demand} from '@gentianlift/types';

/** How long conditions have lasted, so that a plan doesn't follow each swing of demand. */
export type Pressure = {
	/** Since when a name has had too few slots. */
	shortSince: ReadonlyMap<ModelName, Milliseconds>;
	/** Since when nobody has asked for a name. */
	idleSince: ReadonlyMap<ModelName, Milliseconds>;
	/** When an engine was last changed. */
	changedAt: ReadonlyMap<UpstreamId, Milliseconds>;
};

/** An order for one engine. */
export type PlannedOrder = {engine: Engine; order: EngineOrder};

/** Rate of the weight store and what is under way there. */
export type Rate = {bytesPerSecond: number; bytesUnderWay: number};

/** Everything that a plan is made from. */
export type PlanInput = {
	/** Moment on the monotonic clock. */
	now: Milliseconds;
	engines: Engine[];
	models: Model[];
	adapters: Adapter[];
	/** Reports that are fresh enough to plan with. */
	reports: ReadonlyMap<UpstreamId, LoadReport>;
	demands: Demand[];
	/** Orders whose effect no report shows yet. */
	pending: ReadonlyMap<UpstreamId, EngineOrder>;
	/** Undefined when it isn't known; nothing is loaded then. */
	rate: Rate | undefined;
	pressure: Pressure;
};

/** A plan, and the pressure to hand to the next one. */
export type Plan = {orders: PlannedOrder[]; pressure: Pressure};

/** Pressure before the first plan. */
export const noPressure: Pressure = {shortSince: new Map(), idleSince: new Map(), changedAt: new Map()};
