import type {LoadContribution} from '@gentianlift/discovery';
import {defaultPrefillRate} from '@gentianlift/routing';
import {expect, onTestFinished, test} from 'vitest';
import {
	createHostStarter, upstreamMark, type AnswerHandler,
} from './test-deployment.js';
import {sendRequest, type TestHost} from './testing.js';

const start = createHostStarter(onTestFinished);
const route = 'once';

/** Time after which the stub upstream sends its first event. */
const firstTokenDelay = 120;

const streamSlowly: AnswerHandler = (_, response) => {
	setTimeout(() => {
		response.writeHead(200, {...upstreamMark, 'content-type': 'text/event-stream'});
		response.end('id: 1\ndata: 1\n\n');
	}, firstTokenDelay);
};

/** Records a load of another host. */
const reportLoad = ({loads, context}: TestHost, load: Partial<LoadContribution>): void => {
	loads.setReported('other', 1, [{
		upstream: 'u0@1', running: 0, unreadTokens: 0, latencySensitiveStreams: 0, queuedTokens: 0, ...load,
	}], context.clock.monotonic());
};

test('the expected and the actual time to first token are recorded for the same requests', async () => {
	const {host} = await start(streamSlowly);
	const tokens = 50 * defaultPrefillRate;
	await sendRequest(host.port, {path: '/once/1', headers: {attempt: 'a1', 'prompt-tokens': String(tokens)}});
	await sendRequest(host.port, {path: '/once/1', headers: {attempt: 'a2'}});
	expect(host.context.metrics.getSummary('expected_first_token', {route})).toMatchObject({count: 1, p50: 50});
	const actual = host.context.metrics.getSummary('first_token_duration', {route});
	expect(actual?.count).toBe(1);
	expect(actual?.p50).toBeGreaterThanOrEqual(firstTokenDelay - 5);
});

test('the end of a call is logged with the tokens that all hosts had queued for its upstream', async () => {
	const {host} = await start(streamSlowly);
	reportLoad(host, {queuedTokens: 700});
	host.loads.addOwnLoad('u0@1', {
		running: 0, unreadTokens: 0, latencySensitiveStreams: 0, queuedTokens: 50,
	}, host.context.clock.monotonic());
	await sendRequest(host.port, {path: '/once/1', headers: {attempt: 'a1', 'prompt-tokens': '100'}});
	await expect.poll(() => host.logLines.join('\n')).toMatch(/event=call-ended .*unreadTokens=0 queuedTokens=750 uncachedTokens=100 /v);
});

test('the length of the queue counts the calls that wait for a busy upstream', async () => {
	const {host} = await start(streamSlowly);
	reportLoad(host, {running: 8, unreadTokens: 100_000 * defaultPrefillRate});
	const answer = sendRequest(host.port, {path: '/background/1', headers: {attempt: 'a1', 'prompt-tokens': '100'}});
	await expect.poll(host.forwarder.getQueueLength).toBe(1);
	reportLoad(host, {});
	host.forwarder.onLoadChange();
	expect(await answer).toMatchObject({status: 200, isComplete: true});
	expect(host.forwarder.getQueueLength()).toBe(0);
});
