import {setTimeout as sleep} from 'node:timers/promises';
import {expect, onTestFinished, test} from 'vitest';
import {getUpstreamKey} from '@gentianlift/routing';
import {
	configuration, createHostStarter, upstreamMark, type AnswerHandler,
} from '../test-deployment.js';
import {sendRequest} from '../testing.js';
import {startLinkedFleet} from '../links/testing-partition.js';

const start = createHostStarter(onTestFinished);

/** Size of a fleet in which a host's connection pool for an upstream has four connections. */
const hostCount = 75;
const connectionCount = 4;
/** Longest time until a waiting call learns that its upstream is leaving, in milliseconds; less than the route's timeout. */
const maxNoticeTime = 500;

const holdRequest: AnswerHandler = () => undefined;

// Guards against: a call is held for an upstream that is leaving, until another answer ends and frees its connection.
test('a call that waits for a connection of a leaving upstream is refused at once', async () => {
	const {host, counts} = await start(holdRequest);
	host.context.countHosts = () => hostCount;
	const send = async (id: string) => sendRequest(host.port, {path: `/once/${id}`, headers: {attempt: id}});
	const held = Promise.allSettled(Array.from({length: connectionCount}, async (_, index) => send(`a${index}`)));
	await expect.poll(() => counts[0]).toBe(connectionCount);
	const waiting = send('waiting').then(({status}) => status);
	await expect.poll(() => host.loads.getTotalLoad('u0@1').running).toBe(connectionCount + 1);
	host.setUpstreams(host.context.view.getUpstreams('s').map(upstream => ({...upstream, isLeaving: true})));
	expect(await Promise.race([waiting, sleep(maxNoticeTime, 'held')])).toBe(503);
	await held;
});

const sayLeaving: AnswerHandler = (request, response) => {
	response.writeHead(200, {...upstreamMark, leaving: '1', attempt: request.headers.attempt ?? ''});
	response.end('ok');
};

// Guards against: an engine that says that it leaves gets requests until the store says so, too.
test('an upstream that says that it leaves gets no more requests', async () => {
	const {host, counts} = await start(sayLeaving);
	expect(await sendRequest(host.port, {path: '/read/1', headers: {attempt: 'first'}})).toMatchObject({status: 200});
	expect(await sendRequest(host.port, {path: '/read/1', headers: {attempt: 'second'}})).toMatchObject({status: 503});
	expect(counts).toEqual([1]);
});

// Guards against: an engine is left alone for what another one says, which took over its address.
test('an answer of another upstream than the expected one announces nothing', async () => {
	const {host, upstreams: [upstream]} = await start((_, response) => {
		response.writeHead(421, {'not-run': '1', leaving: '1'});
		response.end();
	});
	await sendRequest(host.port, {path: '/read/1', headers: {attempt: 'a'}});
	expect(host.context.view.isUsable(getUpstreamKey(upstream!))).toBe(true);
});

// Guards against: each host learns only by its own requests that an engine leaves.
test('what one host hears of an upstream that leaves, all know', async () => {
	const {hosts, counts} = await startLinkedFleet({
		hosts: 3, upstreams: [sayLeaving], configuration, onFinished: onTestFinished,
	});
	await sendRequest(hosts[0]!.callers, {path: '/read/1', headers: {attempt: 'first'}});
	for (const {logLines, callers} of hosts) {
		// eslint-disable-next-line no-await-in-loop -- One host after the other.
		await expect.poll(() => logLines.some(line => line.includes('event=upstream-leaving upstream=u0@1'))).toBe(true);
		// eslint-disable-next-line no-await-in-loop -- One host after the other.
		expect(await sendRequest(callers, {path: '/read/1', headers: {attempt: 'later'}})).toMatchObject({status: 503});
	}

	expect(counts).toEqual([1]);
});
