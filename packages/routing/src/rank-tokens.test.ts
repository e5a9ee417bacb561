import {expect, test} from 'vitest';
import {
	addRankTokens, getRankChange, noRankTokens, sumRankTokens,
} from './rank-tokens.js';

const tokens = new Map([[0, 100], [2, 3000]]);

test('tokens are added and subtracted by rank, and never fall below 0', () => {
	expect(addRankTokens(tokens, new Map([[2, 1000], [1, 10]]))).toEqual(new Map([[0, 100], [1, 10], [2, 4000]]));
	expect(addRankTokens(tokens, new Map([[0, 200], [2, 1000]]), -1)).toEqual(new Map([[2, 2000]]));
	expect(addRankTokens(tokens, noRankTokens)).toBe(tokens);
});

test('a sum counts the ranks down to the lowest', () => {
	expect(sumRankTokens(tokens)).toBe(3100);
	expect(sumRankTokens(tokens, 1)).toBe(100);
});

test('small changes are left out, but not that a rank has none left', () => {
	expect(getRankChange(tokens, new Map([[0, 150], [2, 6000]]), 3000)).toEqual(new Map([[2, 3000]]));
	expect(getRankChange(tokens, noRankTokens, 3000)).toEqual(new Map([[0, -100], [2, -3000]]));
	expect(getRankChange(tokens, tokens, 3000)).toEqual(noRankTokens);
});
