import {expect, test} from 'vitest';
import {compareQueued, getQueueRank} from './queue-order.js';

const getRank = (routeRank: number, customerRank?: number) => getQueueRank({rank: routeRank}, customerRank);
const isBefore = (one: number, other: number): boolean => compareQueued({rank: one, dueAt: 5, isLate: true}, {rank: other, dueAt: 1, isLate: false}) < 0;

// Guards against: a customer's quick calls wait behind its long ones, as its rank replaces those of the routes.
test('calls of a customer are ordered by the ranks of their routes', () => {
	expect(isBefore(getRank(0, 1), getRank(1, 1))).toBe(true);
	expect(isBefore(getRank(1, 1), getRank(2, 1))).toBe(true);
});

test('the rank of a customer goes before that of a route', () => {
	expect(isBefore(getRank(9, 1), getRank(0, 2))).toBe(true);
	expect(isBefore(getRank(1000, 1), getRank(0, 2))).toBe(true);
	expect(isBefore(getRank(0), getRank(2, 1))).toBe(true);
	expect(getRank(2)).toBe(2);
});
