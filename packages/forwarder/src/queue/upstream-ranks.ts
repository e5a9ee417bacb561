import {
	createUpstreamRanks, upstreamRankCount, type RouteTable, type UpstreamRanks,
} from '@gentianlift/routing';

/** Lowest rank that upstreams are told. */
export const lowestUpstreamRank = upstreamRankCount - 1;

const cache = new WeakMap<RouteTable, Map<string, UpstreamRanks>>();

/** Returns the ranks that upstreams of a service are told, cached for each route table. */
export const getUpstreamRanks = (table: RouteTable, service: string): UpstreamRanks => {
	const byService = cache.get(table) ?? new Map<string, UpstreamRanks>();
	cache.set(table, byService);
	const ranks = byService.get(service) ?? createUpstreamRanks(table.configuration, service);
	byService.set(service, ranks);
	return ranks;
};
