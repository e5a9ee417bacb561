import type {Rank} from '@gentianlift/types';
import {expect, test} from 'vitest';
import {getQueueRank} from './queue-order.js';
import {buildConfiguration, buildRoute} from './testing.js';
import {createUpstreamRanks} from './upstream-ranks.js';

/** Returns what upstreams are told of each customer's calls on each route. */
const getTold = (routeRanks: readonly Rank[], customerRanks: ReadonlyArray<Rank | undefined>): number[][] => {
	const routes = routeRanks.map(rank => buildRoute({name: `r${rank}`, rank}));
	const customers = customerRanks.map((rank, index) => ({name: `c${index}`, keys: [], ...(rank !== undefined && {rank})}));
	const tell = createUpstreamRanks(buildConfiguration({routes, customers}), 's');
	return customerRanks.map(customerRank => routes.map(route => tell(getQueueRank(route, customerRank))));
};

test('the order of the queues is kept, by customer and then by route', () => {
	expect(getTold([0, 1, 2], [undefined])).toEqual([[0, 1, 2]]);
	expect(getTold([0, 1, 2], [1, undefined])).toEqual([[1, 2, 3], [0, 1, 4]]);
	expect(getTold([5], [7, 3, undefined])).toEqual([[2], [0], [1]]);
});

test('with too many ranks, customers are told apart before routes, and those of the highest customers first', () => {
	expect(getTold([0, 1, 2, 3], [0, 1, 2, 3])).toEqual([[0, 1, 2, 3], [4, 5, 6, 7], [8, 8, 8, 8], [9, 9, 9, 9]]);
	const customers = Array.from({length: 12}, (_, index) => index);
	expect(getTold([0, 1], customers).map(([first]) => first)).toEqual([0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 9, 9]);
});

test('ranks of routes to other services and ranks that the configuration doesn\'t name have a place, too', () => {
	const other = buildRoute({name: 'other', rank: 0, destinations: [{service: 'other', weight: 1}]});
	const tell = createUpstreamRanks(buildConfiguration({routes: [other, buildRoute({rank: 3})]}), 's');
	expect([0, 3, 4].map(rank => tell(rank))).toEqual([0, 0, 1]);
});
