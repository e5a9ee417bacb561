import {expect, test} from 'vitest';
import {getSendProbability, type DispatchShare} from './dispatch-share.js';
import {buildCandidate} from './testing.js';

const candidate = buildCandidate({backlog: 150, prefillRate: 40, uncachedTokens: 4000});
const share: DispatchShare = {
	backlogLimit: 150, reportDelay: 10, ownTokens: 4000, otherTokens: 36_000,
};

test('a host whose requests alone are queued sends at once', () => {
	expect(getSendProbability(candidate, {...share, otherTokens: 0})).toBe(1);
});

test('a host sends a share of the tokens that the upstream prefills during a report delay', () => {
	// Three times 400 tokens, of which a tenth is the host's, in requests of 4000.
	expect(getSendProbability(candidate, share)).toBeCloseTo(0.03);
	expect(getSendProbability(candidate, {...share, ownTokens: 8000, otherTokens: 32_000})).toBeCloseTo(0.06);
	expect(getSendProbability({...candidate, uncachedTokens: 16_000}, share)).toBeCloseTo(0.0075);
});

test('the share grows with the room below the backlog limit, up to one request', () => {
	expect(getSendProbability({...candidate, backlog: 140}, share)).toBeCloseTo(0.06);
	expect(getSendProbability({...candidate, backlog: 0}, {...share, otherTokens: 4000})).toBe(1);
	expect(getSendProbability({...candidate, backlog: 200}, share)).toBe(0);
});
