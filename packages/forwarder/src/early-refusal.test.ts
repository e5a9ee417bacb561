import {buildConfiguration, buildRoute, buildUpstream} from '@gentianlift/routing/testing';
import {expect, test} from 'vitest';
import {createSimulatedHost, type SimulatedHost} from './simulated-host.js';

const question = buildRoute({name: 'question', rank: 0, latencyTarget: 300});
const review = buildRoute({
	name: 'review', rank: 2, latencyTarget: 1500, timeout: 10_000, kind: 'streaming',
});
const configuration = buildConfiguration({
	routes: [question, review],
	services: [{name: 's', maxConnections: 100, engine: {slots: 64, cacheTokens: 500_000, tokensPerEvent: 3}}],
});

/** Prompt tokens that an upstream prefills in a second at the rate that is assumed of it. */
const tokensPerSecond = 40_000;

/** Reports the load that another host puts on an upstream. */
const reportLoad = ({loads, clock}: SimulatedHost, load: {unreadTokens: number; queuedTokens: number}): void => {
	loads.setReported('other', 1, [{
		upstream: 'u1@1', running: 20, latencySensitiveStreams: 0, ...load,
	}], clock.monotonic());
};

// Calls that no engine could serve in time were held until their callers left, and were never told to come back.
test.fails('a call that no upstream can serve before its deadline is refused at once', async () => {
	const host = createSimulatedHost(configuration, [buildUpstream()]);
	reportLoad(host, {unreadTokens: 6 * tokensPerSecond, queuedTokens: 10 * tokensPerSecond});
	const answer = host.send({
		route: review, name: 'r1', tokens: 16_000, clientTimeout: 3000,
	});
	await host.clock.advance(500);
	expect(answer.status).toBe(503);
	expect(answer.body).toContain('"ran":"not-run"');
	expect(answer.retryAfter).toBeGreaterThan(0);
});
