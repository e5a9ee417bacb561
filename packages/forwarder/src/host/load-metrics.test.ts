import type {LoadContribution} from '@gentianlift/discovery';
import {defaultPrefillRate, noRankTokens} from '@gentianlift/routing';
import {
	expect, onTestFinished, test, vi,
} from 'vitest';
import {
	createHostStarter, upstreamMark, type AnswerHandler,
} from '../test-deployment.js';
import {sendRequest, type TestHost} from '../testing.js';

const start = createHostStarter(onTestFinished);
const route = 'once';
/** Size of a fleet in which a host may use `connectionCount` connections to an upstream. */
const hostCount = 75;
const connectionCount = 4;

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
		upstream: 'u0@1', running: 0, unreadTokens: 0, latencySensitiveStreams: 0, queuedTokens: noRankTokens, ...load,
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
	reportLoad(host, {queuedTokens: new Map([[1, 700]])});
	host.loads.addOwnLoad('u0@1', {
		running: 0, unreadTokens: 0, latencySensitiveStreams: 0, queuedTokens: new Map([[0, 50]]),
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

/** Returns the time from the arrival of each logged call to its first token, without its wait for a connection. */
const getTimesAfterSending = ({logLines}: TestHost): number[] => logLines
	.map(line => /connectionWait=(?<wait>\d+) first=(?<first>\d+)/v.exec(line)?.groups)
	.filter(groups => groups !== undefined)
	.map(({wait, first}) => Number(first) - Number(wait));

// Guards against: an upstream counts as slow to prefill for the time that streams waited for this host's own connections.
test('the time to first token counts from the sending of a stream', async () => {
	const {host} = await start(streamSlowly);
	host.context.countHosts = () => hostCount;
	const durations: number[] = [];
	vi.spyOn(host.context.tracker, 'recordFirstToken').mockImplementation((_upstream, _tokens, duration) => {
		durations.push(duration);
	});
	const sent = Array.from({length: 3 * connectionCount}, async (_, index) =>
		sendRequest(host.port, {path: `/once/${index}`, headers: {attempt: `a${index}`, 'prompt-tokens': '5000'}}));
	await Promise.all(sent);
	await expect.poll(() => getTimesAfterSending(host)).toHaveLength(3 * connectionCount);
	expect(durations).toHaveLength(3 * connectionCount);
	expect(Math.max(...durations)).toBeLessThanOrEqual(Math.max(...getTimesAfterSending(host)) + 1);
});
