import {setTimeout as sleep} from 'node:timers/promises';
import {getUpstreamKey} from '@gentianlift/routing';
import type {Milliseconds} from '@gentianlift/types';
import {expect, onTestFinished, test} from 'vitest';
import {
	answerOk, createHostStarter,
} from '../test-deployment.js';
import {sendRequest} from '../testing.js';
import {createRestingEngine} from './testing-rest.js';
import {sendSteadily} from './testing-limits.js';

const start = createHostStarter(onTestFinished);

/** Time after the answer that asks for rest from which requests count, and how many may still come until the rest ends. */
const restSlack: Milliseconds = 500;
const allowedArrivals = 2;
/** Time by which a host extends a rest at most. */
const longestExtension: Milliseconds = 300;

// Guards against: an engine that turns a request away and asks for rest gets as many as before.
test('an upstream that wants rest gets no requests until the rest ends', async () => {
	const engines = [createRestingEngine('3'), createRestingEngine('3')];
	const deployment = await start(...engines.map(({answer}) => answer));
	// All are refused at once; later ones would wait for the end of the rest.
	const answers = await sendSteadily(deployment, {interval: 20, duration: 2200});
	expect(answers.filter(({status}) => status !== 503)).toEqual([]);
	const endsAt = Math.max(...engines.map(({arrivals}) => arrivals[0] ?? 0)) + 3000;
	await sleep(endsAt + longestExtension - performance.now());
	await sendRequest(deployment.host.port, {path: '/read/1', headers: {attempt: 'afterwards'}});
	for (const {arrivals} of engines) {
		const [askedAt = 0] = arrivals;
		expect(arrivals.filter(at => at > askedAt + restSlack && at < askedAt + 3000).length).toBeLessThanOrEqual(allowedArrivals);
	}

	expect(engines.flatMap(({arrivals}) => arrivals).some(at => at >= endsAt)).toBe(true);
});

// Guards against: a request that was chosen before the rest began, and waited for a connection, is sent all the same.
test('a request that waits for a connection is not sent once its upstream wants rest', async () => {
	const {host, counts, upstreams: [upstream]} = await start((request, response) => {
		setTimeout(() => {
			answerOk(request, response);
		}, 300);
	});
	const agent = host.context.tracker.getAgent(upstream!, 'idempotent', 1);
	host.context.tracker.getAgent = () => agent;
	const first = sendRequest(host.port, {path: '/read/1', headers: {attempt: 'first'}});
	await expect.poll(() => counts).toEqual([1]);
	const waiting = sendRequest(host.port, {path: '/read/1', headers: {attempt: 'waiting'}});
	await sleep(50);
	host.context.rests.observe({upstream: getUpstreamKey(upstream!), statement: {kind: 'rest', duration: 5000}, request: undefined});
	expect(await first).toMatchObject({status: 200});
	expect(await waiting).toMatchObject({status: 503});
	expect(counts).toEqual([1]);
});

// Guards against: a caller is refused although the rest ends soon, or waits in vain for one that doesn't.
test('a call waits for a rest that ends in time; else it is refused at once, and told when to return', async () => {
	const {host, counts, upstreams: [upstream]} = await start(answerOk);
	const rest = (duration: Milliseconds): void => {
		host.context.rests.observe({upstream: getUpstreamKey(upstream!), statement: {kind: 'rest', duration}, request: undefined});
	};

	rest(400);
	expect(await sendRequest(host.port, {path: '/read/1', headers: {attempt: 'waiting'}})).toMatchObject({status: 200});
	rest(4000);
	const sentAt = performance.now();
	const {status, headers} = await sendRequest(host.port, {path: '/read/1', headers: {attempt: 'refused'}});
	expect(performance.now() - sentAt).toBeLessThan(300);
	expect(status).toBe(503);
	expect(Number(headers['retry-after'])).toBeGreaterThan(3.5);
	expect(counts).toEqual([1]);
});

// Guards against: an engine that took over an address is left alone for what another one says, or a success that names a time for its caller is taken for a rest.
test('only a rejection of the expected upstream asks for rest', async () => {
	for (const [status, isResting] of [[503, true], [421, false], [429, false]] as const) {
		// eslint-disable-next-line no-await-in-loop -- One deployment at a time.
		const {host, upstreams: [upstream]} = await start((_, response) => {
			response.writeHead(status, {'not-run': '1', 'retry-after': '3'});
			response.end();
		});
		// eslint-disable-next-line no-await-in-loop -- One deployment at a time.
		await sendRequest(host.port, {path: '/book/1', headers: {attempt: 'a'}});
		expect(host.context.rests.isResting(getUpstreamKey(upstream!))).toBe(isResting);
	}
});

// Guards against: the rests of engines that are gone are kept for as long as the host runs.
test('an answer of an upstream that is no longer listed asks for no rest', async () => {
	const {host, counts, upstreams: [upstream]} = await start((_, response) => {
		setTimeout(() => {
			response.writeHead(503, {'not-run': '1', 'retry-after': '3'});
			response.end();
		}, 100);
	});
	const pending = sendRequest(host.port, {path: '/read/1', headers: {attempt: 'a'}});
	await expect.poll(() => counts).toEqual([1]);
	host.setUpstreams([]);
	await pending;
	expect(host.context.rests.isResting(getUpstreamKey(upstream!))).toBe(false);
});
