import {getBacklogLimit, type RouteTable} from '@gentianlift/routing';
import type {Milliseconds} from '@gentianlift/types';
import type {Call} from '../call.js';

/** Backlog limits of services and ranks, cached for each route table. */
export type BacklogLimits = {
	/** Returns the maximum backlog at which an upstream may receive the call; infinite if no call has a higher rank. */
	get: (table: RouteTable, call: Call) => Milliseconds;
};

/** Creates an empty cache. */
export const createBacklogLimits = (): BacklogLimits => {
	const limitsByTable = new WeakMap<RouteTable, Map<string, Milliseconds>>();
	return {
		get(table, {service, rank}) {
			const limits = limitsByTable.get(table) ?? new Map<string, Milliseconds>();
			limitsByTable.set(table, limits);
			const key = `${service}/${rank}`;
			const limit = limits.get(key) ?? getBacklogLimit(table.configuration.routes, service, rank);
			limits.set(key, limit);
			return limit;
		},
	};
};
