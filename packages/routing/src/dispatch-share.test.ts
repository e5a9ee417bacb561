import {expect, test} from 'vitest';
import {getSendProbability, type DispatchShare} from './dispatch-share.js';
import {buildCandidate} from './testing.js';

const candidate = buildCandidate({backlog: 140, prefillRate: 40, uncachedTokens: 4000});
const share: DispatchShare = {
	backlogLimit: 150, ownTokens: 4000, otherTokens: 36_000, higherRankTokens: 0,
};

test('a host whose requests alone are queued sends at once', () => {
	expect(getSendProbability(candidate, {...share, otherTokens: 0})).toBe(1);
});

test('a host sends its share of the room below the backlog limit', () => {
	// 1.2 times 400 tokens, of which a tenth is the host's, in requests of 4000.
	expect(getSendProbability(candidate, share)).toBeCloseTo(0.012, 4);
	expect(getSendProbability(candidate, {...share, ownTokens: 8000, otherTokens: 32_000})).toBeCloseTo(0.024, 4);
	expect(getSendProbability({...candidate, uncachedTokens: 16_000}, share)).toBeCloseTo(0.003, 4);
});

test('the share grows with the room, up to one request, and there is none without room', () => {
	expect(getSendProbability({...candidate, backlog: 130}, share)).toBeCloseTo(0.024, 4);
	expect(getSendProbability({...candidate, backlog: 0, uncachedTokens: 2000}, {...share, otherTokens: 4000})).toBe(1);
	expect(getSendProbability({...candidate, backlog: 150}, share)).toBe(0);
	expect(getSendProbability({...candidate, backlog: 200}, share)).toBe(0);
});

test('the room for requests of higher ranks at other hosts is left to them', () => {
	// Of room for 2000 tokens 1500 are left to higher ranks.
	const roomy = {...candidate, backlog: 100};
	expect(getSendProbability(roomy, {...share, otherTokens: 0, higherRankTokens: 1500})).toBeCloseTo(0.15, 4);
	expect(getSendProbability(roomy, {...share, otherTokens: 0, higherRankTokens: 2000})).toBe(0);
});
