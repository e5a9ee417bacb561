import {createManualClock} from '@gentianlift/clock';
import {createLoadTracker} from '@gentianlift/discovery';
import {createSilentLogger} from '@gentianlift/logger';
import type {Prompt, Service} from '@gentianlift/routing';
import {buildUpstream} from '@gentianlift/routing/testing';
import {expect, test} from 'vitest';
import {createSoleLimits} from '../statements/testing-sole-limits.js';
import {createUpstreamTracker, type UpstreamTracker} from './upstream-tracker.js';

const upstream = buildUpstream();
const key = 'u1@1';
const service: Service = {name: 's', maxConnections: 100, engine: {slots: 64, cacheTokens: 480_000, tokensPerEvent: 4}};

const buildPrompt = (index: number): Prompt => ({
	model: 'm', inputTokens: 60_000, outputTokens: 100, parts: [{id: `p${index}`, tokens: 60_000}],
});

const countUncached = (tracker: UpstreamTracker, prompt: Prompt): number | undefined =>
	tracker.getCandidates({service: tracker.observe(service, [upstream], 0), prompt})[0]?.uncachedTokens;

const createTracker = (getService: () => Service | undefined): UpstreamTracker => {
	const clock = createManualClock();
	const logger = createSilentLogger();
	return createUpstreamTracker({
		clock, logger, loads: createLoadTracker(), limits: createSoleLimits(clock, logger), rests: {isResting: () => false}, fragileUpstreams: {hasRoom: () => true}, getService,
	});
};

// A host that learned of an upstream's prompts before its first own call took the upstream's cache for the default size, and sent prompts elsewhere to be prefilled again.
test('prompts of other hosts count as cached up to the configured capacity', () => {
	const tracker = createTracker(() => service);
	const prompts = [1, 2, 3, 4, 5].map(index => buildPrompt(index));
	for (const prompt of prompts) {
		tracker.recordPrefill(key, prompt);
	}

	expect(prompts.map(prompt => countUncached(tracker, prompt))).toEqual([0, 0, 0, 0, 0]);
});

test('an upstream that is listed after its first report gets its configured capacity', () => {
	const known: {service: Service | undefined} = {service: undefined};
	const tracker = createTracker(() => known.service);
	tracker.recordPrefill(key, buildPrompt(1));
	known.service = service;
	for (const index of [2, 3, 4, 5]) {
		tracker.recordPrefill(key, buildPrompt(index));
	}

	expect(countUncached(tracker, buildPrompt(1))).toBe(0);
});
