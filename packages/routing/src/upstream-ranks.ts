import type {Rank} from '@gentianlift/types';
import type {RoutingConfiguration} from './configuration.js';
import {getQueueRank} from './queue-order.js';

/** Returns the rank that upstreams are told for calls of a rank in queues. */
export type UpstreamRanks = (rank: Rank) => number;

/** Number of ranks that upstreams tell apart, from 0, the highest. */
export const upstreamRankCount = 10;

/** Returns the different ranks in queues of the calls to a service that a configuration allows, the highest first. */
const getQueueRanks = ({routes, customers = []}: RoutingConfiguration, service: string): Rank[] => {
	const served = routes.filter(({destinations}) => destinations.some(destination => destination.service === service));
	const customerRanks = new Set([undefined, ...customers.map(({rank}) => rank)]);
	const ranks = new Set([...customerRanks].flatMap(customerRank => served.map(route => getQueueRank(route, customerRank))));
	return [...ranks].toSorted((one, other) => one - other);
};

/** Groups ranks in queues by the whole number that they begin with: the rank of a customer, or of a route. */
const groupByWholeRank = (queueRanks: readonly Rank[]): Rank[][] => {
	const groups = new Map<number, Rank[]>();
	for (const rank of queueRanks) {
		groups.set(Math.floor(rank), [...(groups.get(Math.floor(rank)) ?? []), rank]);
	}

	return [...groups.values()];
};

/** Returns the lowest queue rank of each rank that upstreams are told: one for each group, and the others for the ranks within the highest groups. */
const getBounds = (groups: readonly Rank[][]): Rank[] => {
	let spare = upstreamRankCount - groups.length;
	return groups.flatMap(group => {
		const separate = Math.max(0, Math.min(group.length - 1, spare));
		spare -= separate;
		return [...group.slice(0, separate), group.at(-1)!];
	});
};

/**
 * Returns the ranks that upstreams of a service are told. Calls have the same order there as in the queues of the hosts.
 * Where these tell apart more ranks than upstreams do, the ranks of customers, and of routes without them, are told apart
 * first, and then those of the routes of the highest customers.
 */
export const createUpstreamRanks = (configuration: RoutingConfiguration, service: string): UpstreamRanks => {
	const bounds = getBounds(groupByWholeRank(getQueueRanks(configuration, service)));
	return rank => {
		const index = bounds.findIndex(bound => rank <= bound);
		return Math.min(upstreamRankCount - 1, index === -1 ? bounds.length : index);
	};
};
