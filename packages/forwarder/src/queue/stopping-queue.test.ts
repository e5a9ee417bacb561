import {getUpstreamKey, noRankTokens} from '@gentianlift/routing';
import {buildConfiguration, buildRoute, buildUpstream} from '@gentianlift/routing/testing';
import type {Milliseconds} from '@gentianlift/types';
import {expect, test} from 'vitest';
import {createSimulatedHost, type SimulatedAnswer, type SimulatedHost} from './simulated-host.js';

const route = buildRoute({
	name: 'plan', rank: 1, latencyTarget: 500, timeout: 20_000, kind: 'streaming',
});
const configuration = buildConfiguration({
	// Calls of the highest rank don't wait for an upstream.
	routes: [buildRoute({name: 'question', rank: 0, latencyTarget: 300}), route],
	services: [{name: 's', maxConnections: 100, engine: {slots: 64, cacheTokens: 500_000, tokensPerEvent: 3}}],
});
const upstream = buildUpstream();
/** Prompt tokens that an upstream prefills in a millisecond at the rate that is assumed of it. */
const prefillRate = 40;
/** Time from the stop until the host serves no more. */
const servingTime: Milliseconds = 4000;
/** Time in which a queue has told its calls what a change of the load or a stop means for them. */
const settlingTime: Milliseconds = 500;

/** Reports how long the upstream needs for the prompts that it has. */
const reportBacklog = ({loads, clock}: SimulatedHost, backlog: Milliseconds): void => {
	loads.setReported('other', 1, [{
		upstream: getUpstreamKey(upstream), running: 20, latencySensitiveStreams: 0, unreadTokens: backlog * prefillRate, queuedTokens: noRankTokens,
	}], clock.monotonic());
};

/** Creates a host with a call that waits in its queue. */
const createWaitingHost = (backlog: Milliseconds): {host: SimulatedHost; answer: SimulatedAnswer} => {
	const host = createSimulatedHost(configuration, [upstream]);
	reportBacklog(host, backlog);
	return {host, answer: host.send({route, name: 'a', tokens: 4000})};
};

const returned = {status: 503, retryAfter: 20, body: expect.stringContaining('"ran":"not-run"') as string};

// Guards against: a call waits until a stopping host ends for an upstream that is known to come free later.
test('a queued call whose first token would come after its host has ended is given back at once', async () => {
	const {host, answer} = createWaitingHost(2 * servingTime);
	await host.clock.advance(settlingTime);
	expect(answer.status).toBeUndefined();
	host.setServingEnd(host.clock.monotonic() + servingTime);
	await host.clock.advance(settlingTime);
	expect(answer).toMatchObject(returned);
});

// Guards against: a call that is about to get an upstream is sent when its host has no time left for the answer.
test('a queued call that comes too late to be answered before its host ends is given back, not sent', async () => {
	const host = createSimulatedHost(configuration, [upstream]);
	// The queue doesn't foresee when the rest of an upstream ends.
	host.context.rests.observe({upstream: getUpstreamKey(upstream), statement: {kind: 'rest', duration: servingTime}, request: undefined});
	const answer = host.send({route, name: 'a', tokens: 4000});
	await host.clock.advance(settlingTime);
	const end = host.clock.monotonic() + servingTime;
	host.setServingEnd(end);
	await host.clock.advance(servingTime - route.latencyTarget - settlingTime);
	expect(answer.status).toBeUndefined();
	await host.clock.advance(settlingTime + 50);
	expect(answer).toMatchObject(returned);
	expect(answer.answeredAt).toBeLessThan(end);
});

// Guards against: a call that the queue doesn't take for late is left without an answer when its host ends, or is sent after it was answered as not run.
test('a queued call that nothing has ended before is given back when its host ends', async () => {
	const {host, answer} = createWaitingHost(servingTime);
	await host.clock.advance(settlingTime);
	expect(answer.status).toBeUndefined();
	host.answerCalls();
	expect(answer).toMatchObject(returned);
	reportBacklog(host, 0);
	await host.clock.advance(settlingTime);
	expect(host.logLines.filter(line => line.includes('event=attempt'))).toEqual([]);
	expect(host.logLines.find(line => line.includes('event=call-ended'))).toContain('outcome=host-stopping');
});
