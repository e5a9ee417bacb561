import {getBacklogLimit, type RouteTable} from '@gentianlift/routing';
import type {Milliseconds, Rank} from '@gentianlift/types';
import type {Call} from '../call.js';

/** Backlog limits of services and ranks, cached for each route table. */
export type BacklogLimits = {
	/** Returns the maximum backlog at which an upstream may receive the call; infinite if no call has a higher rank. */
	get: (table: RouteTable, call: Call) => Milliseconds;
};

/** Creates an empty cache. */
export const createBacklogLimits = (): BacklogLimits => {
	const limitsByTable = new WeakMap<RouteTable, Map<string, Map<Rank, Milliseconds>>>();
	return {
		get(table, {service, rank}) {
			const byService = limitsByTable.get(table) ?? new Map<string, Map<Rank, Milliseconds>>();
			limitsByTable.set(table, byService);
			const limits = byService.get(service) ?? new Map<Rank, Milliseconds>();
			byService.set(service, limits);
			const limit = limits.get(rank) ?? getBacklogLimit(table.configuration.routes, service, rank);
			limits.set(rank, limit);
			return limit;
		},
	};
};
