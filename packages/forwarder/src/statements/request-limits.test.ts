import {getUpstreamKey} from '@gentianlift/routing';
import {expect, onTestFinished, test} from 'vitest';
import {createHostStarter, type TestDeployment} from '../test-deployment.js';
import {sendRequest, waitForEnd, type TestAnswer} from '../testing.js';
import {
	countMostArrivals, createLimitedEngine, getAllowedArrivals, sendSteadily,
} from './testing-limits.js';

const start = createHostStarter(onTestFinished);

const requestBackground = async ({host}: TestDeployment, attempt: string): Promise<TestAnswer> =>
	sendRequest(host.port, {path: '/background/1', headers: {attempt}});

// Guards against: an engine that names a limit on its requests gets as many as before.
test('an upstream gets no more requests than the limit that it names', async () => {
	const limited = createLimitedEngine('2');
	const deployment = await start(limited.answer);
	const startedAt = performance.now();
	await sendSteadily(deployment, {interval: 20, duration: 7500});
	expect(countMostArrivals(limited.arrivals, startedAt + 3000)).toBeLessThanOrEqual(getAllowedArrivals(2));
});

test('what a limited upstream does not take goes to the others', async () => {
	const limited = createLimitedEngine('2');
	const other = createLimitedEngine(undefined);
	const deployment = await start(limited.answer, other.answer);
	const answers = await sendSteadily(deployment, {interval: 20, duration: 1500});
	expect(answers.every(({status}) => status === 200)).toBe(true);
	expect(deployment.host.logLines.filter(line => line.includes('outcome=delivered')).length).toBe(answers.length);
});

// Guards against: callers wait in vain where all upstreams are limited, or their requests are said to have run.
test('where all upstreams are limited, a call waits for a permit that comes in time, and is refused at once if none does', async () => {
	const limited = createLimitedEngine('1');
	const deployment = await start(limited.answer);
	const {host} = deployment;
	expect(await requestBackground(deployment, 'first')).toMatchObject({status: 200});
	const waiting = requestBackground(deployment, 'waiting');
	await expect.poll(() => host.forwarder.getQueueLength()).toBe(1);
	const sentAt = performance.now();
	expect(await sendRequest(host.port, {path: '/read/1', headers: {attempt: 'refused', timeout: '500'}})).toMatchObject({status: 503});
	expect(performance.now() - sentAt).toBeLessThan(200);
	expect(await waitForEnd(host, 'refused')).toMatch(/sends=0 outcome=own-answer reason=no-upstream/v);
	expect(await waiting).toMatchObject({status: 200});
});

// Guards against: the few permits go to whoever comes first, whatever its rank.
test('a call of a higher rank gets the next permit, before one that has waited longer', async () => {
	const limited = createLimitedEngine('2');
	const deployment = await start(limited.answer);
	await requestBackground(deployment, 'first');
	const order: string[] = [];
	const background = [1, 2].map(async index => {
		await requestBackground(deployment, `low-${index}`);
		order.push('low');
	});
	await expect.poll(() => deployment.host.forwarder.getQueueLength()).toBe(2);
	const high = sendRequest(deployment.host.port, {path: '/stream/1', headers: {attempt: 'high'}});
	expect(await high).toMatchObject({status: 200});
	order.push('high');
	await Promise.all(background);
	expect(order).toEqual(['high', 'low', 'low']);
});

// Guards against: an engine that took over an address is limited by what another one says, or a full engine's limit is overlooked.
test('a rejection names a limit, unless it comes from another upstream than the expected one', async () => {
	for (const [status, isLimited] of [[503, true], [421, false]] as const) {
		// eslint-disable-next-line no-await-in-loop -- One deployment at a time.
		const {host, upstreams: [upstream]} = await start((_, response) => {
			response.writeHead(status, {'not-run': '1', limit: '3'});
			response.end();
		});
		// eslint-disable-next-line no-await-in-loop -- One deployment at a time.
		await sendRequest(host.port, {path: '/book/1', headers: {attempt: 'a'}});
		expect(host.context.limits.isLimited(getUpstreamKey(upstream!))).toBe(isLimited);
	}
});

// Guards against: a limit stays when the engine no longer names it.
test('a limit ends when a later answer no longer names it', async () => {
	const engine = createLimitedEngine('5');
	const deployment = await start(engine.answer);
	const {host: {context: {limits}}, upstreams: [upstream]} = deployment;
	await requestBackground(deployment, 'first');
	expect(limits.isLimited(getUpstreamKey(upstream!))).toBe(true);
	engine.limit = undefined;
	await requestBackground(deployment, 'second');
	expect(limits.isLimited(getUpstreamKey(upstream!))).toBe(false);
});
