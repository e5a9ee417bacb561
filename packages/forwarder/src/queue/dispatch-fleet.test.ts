import {expect, test} from 'vitest';
import {
	playBurst, type BurstLoads, type BurstResult, type FleetSize,
} from './testing-burst.js';
import {enginePrefillRate} from './testing-engine.js';

/** Fraction of the questions that get their first token within their target. */
const minQuestionsInTarget = 0.9;
/** Fraction of the engines' capacity that prefills reviews during the overload. */
const minReviewUtilization = 0.8;

/** Fleet in which load reports take two more hops and each host spaces its own. */
const largeFleet: FleetSize = {
	hosts: 40, engines: 8, reportDelay: 30, reportSpacing: 32,
};

/** Fleet in which hosts send their load reports to each other. */
const smallFleet: FleetSize = {
	hosts: 7, engines: 8, reportDelay: 3, reportSpacing: 0,
};

/** Drafts for which the engines have room, beside less urgent reviews for which they haven't. */
const draftLoads: BurstLoads = {questions: 0.06, drafts: 0.5, reviews: 2.5};
/** Fraction of the drafts that may get nothing while reviews are served. */
const maxUnservedDrafts = 1 / 12;

/** Several bursts, as the questions of one are few. */
const seeds = [1, 2, 3, 4];

const results = await Promise.all(seeds.map(async seed => playBurst(largeFleet, seed)));

const getMean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

/** Fails with the summaries of all bursts. */
const expectMean = (name: 'questionsInTarget' | 'reviewUtilization', minimum: number): void => {
	const values = results.map((result: BurstResult) => result[name]);
	expect(getMean(values), JSON.stringify(results)).toBeGreaterThanOrEqual(minimum);
};

test('all calls of a burst are served, and reviews use the engines', () => {
	expect(results.map(({served}) => served)).toEqual(seeds.map(() => 1));
	expectMean('reviewUtilization', minReviewUtilization);
});

// Guards against hosts that all send a waiting review to the same engine once load reports say that it has room.
test('questions meet their target while reviews wait', () => {
	expectMean('questionsInTarget', minQuestionsInTarget);
});

test('questions of the first burst meet their target by themselves', () => {
	expect(results[0]?.questionsInTarget).toBeGreaterThanOrEqual(minQuestionsInTarget);
	expect(results[0]?.reviewUtilization).toBeGreaterThanOrEqual(minReviewUtilization);
});

test('questions meet their target in a small fleet too', async () => {
	const smallFleetResult = await playBurst(smallFleet, 1);
	expect(smallFleetResult.served).toBe(1);
	expect(smallFleetResult.reviewUtilization).toBeGreaterThanOrEqual(minReviewUtilization);
	expect(smallFleetResult.questionsInTarget).toBeGreaterThanOrEqual(minQuestionsInTarget);
});

// Guards against: hosts with reviews only take the engines' room while more urgent drafts wait at other hosts until their callers leave.
test('drafts are served before the less urgent reviews of other hosts', async () => {
	const fleet: FleetSize = {
		hosts: 20, engines: 4, reportDelay: 30, reportSpacing: 16,
	};
	const result = await playBurst(fleet, 1, draftLoads);
	expect(result.reviewsServed).toBeGreaterThan(0);
	expect(result.draftsServed, JSON.stringify(result)).toBeGreaterThanOrEqual(1 - maxUnservedDrafts);
});

/** Reviews of which all but a few tokens are cached. */
const cachedReviewLoads: BurstLoads = {...draftLoads, reviewTokens: {min: 400, max: 1200}};
/** Prompt tokens that an engine prefills within the target of the questions. */
const questionTargetTokens = 500 * enginePrefillRate;

// Guards against: reviews that are mostly cached pass the drafts that wait, and go to an engine from all hosts at once, as each adds little to its backlog.
test('reviews that are mostly cached leave an engine room for more urgent calls', async () => {
	const result = await playBurst(largeFleet, 1, cachedReviewLoads);
	expect(result.reviewsServed).toBeGreaterThan(0);
	expect(result.draftsServed, JSON.stringify(result)).toBeGreaterThanOrEqual(1 - maxUnservedDrafts);
	expect(result.tokensAhead.p90, JSON.stringify(result)).toBeLessThan(questionTargetTokens);
});
