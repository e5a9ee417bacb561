import {expect, test} from 'vitest';
import {getTimeToFirstToken, getTimeToTurn, getTokensElsewhere} from './first-token.js';
import {buildCandidate, buildUpstream} from './testing.js';

const prefillRate = 40;
const buildBusy = (id: string, backlog: number) => buildCandidate({upstream: buildUpstream({id}), prefillRate, backlog});

test('queued tokens of other hosts count by rank, and those of lower ranks not', () => {
	const candidates = [
		{...buildBusy('u1', 0), queuedElsewhere: new Map([[0, 1000], [1, 2000], [2, 4000]])},
		{...buildBusy('u2', 0), queuedElsewhere: new Map([[1, 10_000]])},
	];
	expect(getTokensElsewhere(candidates, 1)).toEqual({same: 12_000, higher: 1000});
	expect(getTokensElsewhere(candidates, 3)).toEqual({same: 0, higher: 17_000});
});

test('without queued tokens it is a call\'s turn at the shortest backlog', () => {
	expect(getTimeToTurn([buildBusy('u1', 300), buildBusy('u2', 200)], 0)).toBe(200);
});

test('queued tokens fill the upstreams with the shortest backlogs first', () => {
	const candidates = [buildBusy('u1', 300), buildBusy('u2', 200), buildBusy('u3', 900)];
	// The second upstream alone prefills 4,000 tokens until the first one joins it.
	expect(getTimeToTurn(candidates, 4000)).toBe(300);
	expect(getTimeToTurn(candidates, 4000 + 8000)).toBe(400);
	expect(getTimeToTurn(candidates, 4000 + 48_000 + 12_000)).toBe(1000);
});

test('the first token comes from the upstream that returns it first, at the call\'s turn at the earliest', () => {
	const near = {...buildBusy('u1', 100), uncachedTokens: 16_000};
	const cached = {...buildBusy('u2', 200), uncachedTokens: 1000};
	expect(getTimeToFirstToken([near, cached], 100)).toBe(200 + (1000 / prefillRate));
	expect(getTimeToFirstToken([near, cached], 500)).toBe(500 + (1000 / prefillRate));
	expect(getTimeToFirstToken([near], 500)).toBe(500 + (16_000 / prefillRate));
});
