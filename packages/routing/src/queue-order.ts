import type {Milliseconds, Rank} from '@gentianlift/types';
import type {Route} from './configuration.js';

/** Properties of a queued request that determine its position in the queue. */
export type QueuePosition = {
	rank: Rank;
	/** When the target for its first token is missed. */
	dueAt: Milliseconds;
	/** Whether the target for its first token has been missed. */
	isLate: boolean;
};

/** Number of ranks of routes that a rank of a customer is divided into. */
const ranksPerCustomerRank = 100;

/** Returns the rank of a call in queues: that of its route or, before it, of its customer, whose calls are ordered by the ranks of their routes. */
export const getQueueRank = (route: Pick<Route, 'rank'>, customerRank: Rank | undefined): Rank =>
	customerRank === undefined ? route.rank : customerRank + (Math.min(route.rank, ranksPerCustomerRank - 1) / ranksPerCustomerRank);

/** Maximum backlog as a fraction of the shortest target of the higher ranks. */
const maxBacklogFraction = 0.3;

/**
 * Compares queued requests: by rank, then those that can still meet their target before late ones, then by due time.
 * Late requests come last within their rank, as further waiting costs them no more.
 */
export const compareQueued = (one: QueuePosition, other: QueuePosition): number => {
	if (one.rank !== other.rank) {
		return one.rank - other.rank;
	}

	if (one.isLate !== other.isLate) {
		return one.isLate ? 1 : -1;
	}

	return one.dueAt - other.dueAt;
};

/**
 * Returns the maximum backlog at which an upstream may receive a request of the rank; infinite if no route to the service
 * has a higher rank. Upstreams prefill prompts in
 * order of arrival, so a request that is sent too early delays later ones of higher ranks.
 */
export const getBacklogLimit = (routes: readonly Route[], service: string, rank: Rank): Milliseconds => {
	const higherRanked = routes.filter(route => route.rank < rank && route.destinations.some(destination => destination.service === service));
	return maxBacklogFraction * Math.min(...higherRanked.map(({latencyTarget}) => latencyTarget));
};
