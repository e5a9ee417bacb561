import {Agent, request} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {createSystemClock} from '@gentianlift/clock';
import {createSilentLogger} from '@gentianlift/logger';
import {splitAddress, type Address} from '@gentianlift/types';
import {expect, onTestFinished, test} from 'vitest';
import {startLinkedFleet, type LinkedFleet} from '../links/testing-partition.js';
import {
	answerOk, configuration, createHostStarter, upstreamMark, type AnswerHandler,
} from '../test-deployment.js';
import type {CallerServer} from '../callers/serve-callers.js';
import {sendRequest, type TestAnswer} from '../testing.js';
import {stopHost} from './stop-host.js';

const gracePeriod = 1500;
/** Time in which answers that were written before a stop had ended arrive. */
const arrivalTime = 50;

const startFleet = async (hosts: number, upstream: AnswerHandler, grace = gracePeriod): Promise<LinkedFleet> => startLinkedFleet({
	hosts, upstreams: [upstream], configuration, gracePeriod: grace, onFinished: onTestFinished,
});

/** Never answers. */
const hang: AnswerHandler = incoming => {
	incoming.resume();
};

/** Stops a host that is in no fleet. */
const stopTestHost = async (callers: CallerServer): Promise<void> => {
	const nothing = async (): Promise<void> => undefined;
	await stopHost({
		...callers, clock: createSystemClock(), logger: createSilentLogger(), getGracePeriod: () => gracePeriod, maxAddressUse: 0, announce: nothing, release: nothing,
	});
};

/** Sends a request with a prompt that takes an upstream some seconds, on a route of a low rank. */
const sendLong = async (callers: Address | number, name: string): Promise<TestAnswer | 'lost'> =>
	sendRequest(callers, {path: `/background/${name}`, headers: {attempt: name, 'prompt-tokens': '100000', parts: name}}).catch(() => 'lost' as const);

/** Returns the status of each answer that has arrived by now, or `none`. */
const getStatuses = async (answers: ReadonlyArray<Promise<TestAnswer | 'lost'>>): Promise<Array<number | 'lost' | 'none'>> => Promise.all(answers.map(async answer => {
	const arrived = await Promise.race([answer, sleep(arrivalTime, 'none' as const)]);
	return typeof arrived === 'string' ? arrived : arrived.status;
}));

// Guards against: requests in the queue of a host that is stopped end without an answer.
test('a stopping host answers the requests in its queue that have not run, and says where to go', async () => {
	const {hosts: [host], counts} = await startFleet(1, hang);
	const running = sendLong(host!.callers, 'running');
	await expect.poll(() => counts).toEqual([1]);
	const queued = ['a', 'b', 'c'].map(async name => sendLong(host!.callers, name));
	await sleep(200);
	await host!.host.stop();
	expect(await getStatuses([running, ...queued])).toEqual([502, 503, 503, 503]);
	expect(counts).toEqual([1]);
	const {headers, body} = await queued[0] as TestAnswer;
	expect(headers).toMatchObject({'retry-after': '0.020', connection: 'close'});
	expect(body).toContain('"ran":"not-run"');
});

// Guards against: a request that waits in the queue until its host ends, as nothing there takes it for too late, ends without an answer.
test.each(['answerRequests', 'cutRequests'] as const)('a stopping host answers a request whose wait in the queue nothing else has ended, by %s alone', async step => {
	// The queue of this host is never told when serving ends.
	const {host, counts} = await createHostStarter(onTestFinished)(hang);
	const running = sendLong(host.port, 'running');
	await expect.poll(() => counts).toEqual([1]);
	const queued = ['a', 'b', 'c'].map(async name => sendLong(host.port, name));
	await expect.poll(() => host.forwarder.getQueueLength()).toBe(3);
	await stopTestHost({
		...host.callers, answerRequests: () => undefined, cutRequests: () => undefined, [step]: host.callers[step],
	});
	expect(await getStatuses([running, ...queued])).toEqual([502, 503, 503, 503]);
	expect(counts).toEqual([1]);
	expect(host.forwarder.getQueueLength()).toBe(0);
	const {headers, body} = await queued[0] as TestAnswer;
	expect(headers).toMatchObject({'retry-after': '0.020'});
	expect(body).toContain('"ran":"not-run"');
});

// Guards against: a booking that an application server is still at work on when its host ends is cut without an answer.
test.each(['/book/1', '/read/1', '/stream/1', '/once/1'])('a request that has been sent and not answered when its host ends is told that nobody knows whether it ran: %s', async path => {
	const {hosts: [host], counts} = await startFleet(1, hang);
	const stopped = host!.host.stop();
	const answer = sendRequest(host!.callers, {path, headers: {attempt: 'a1'}});
	await expect.poll(() => counts).toEqual([1]);
	await stopped;
	expect(await getStatuses([answer])).toEqual([502]);
	const {body} = await answer;
	expect(body).toContain('"ran":"unknown"');
});

// Guards against: a stream that waits to be taken up at another upstream when its host ends passes for a whole one.
test('a stream that has begun and waits for another upstream is cut visibly when its host ends', async () => {
	let attempts = 0;
	const breakOffOnce: AnswerHandler = (incoming, response) => {
		incoming.resume();
		attempts += 1;
		if (attempts === 1) {
			response.writeHead(200, {...upstreamMark, 'content-type': 'text/event-stream', attempt: 'a1'});
			response.write('id: 1\ndata: x\n\n');
			setTimeout(() => {
				response.destroy();
			}, arrivalTime);
		}
	};

	const {host, counts} = await createHostStarter(onTestFinished)(breakOffOnce, breakOffOnce);
	const answer = sendRequest(host.port, {path: '/stream/1', headers: {attempt: 'a1'}});
	await expect.poll(() => counts).toEqual([1, 1]);
	await stopTestHost(host.callers);
	expect(await answer).toMatchObject({status: 200, body: 'id: 1\ndata: x\n\n', isComplete: false});
});

// Guards against: a request whose body is still arriving when its host ends gets no answer.
test('a request that has not arrived completely when its host ends is refused', async () => {
	const {hosts: [host], counts} = await startFleet(1, answerOk);
	const outgoing = request({
		...splitAddress(host!.callers), path: '/book/1', method: 'POST', headers: {attempt: 'a1', 'content-length': 10},
	});
	const status = new Promise<number | undefined>(resolve => {
		outgoing.on('response', ({statusCode}) => {
			resolve(statusCode);
		});
		outgoing.on('error', () => {
			resolve(undefined);
		});
	});
	outgoing.write('half');
	await sleep(100);
	await host!.host.stop();
	expect(await status).toBe(503);
	expect(counts).toEqual([0]);
});

// Guards against: a host ends while an answer is still being written to a caller that reads slowly.
test('a stopping host waits until an answer has been written', async () => {
	const size = 8 * 1024 * 1024;
	const longGracePeriod = 5000;
	// After the 3 s for which callers may use the address of the host, and before the end of its grace period.
	const readingDelay = 3800;
	const {hosts: [host]} = await startFleet(1, (incoming, response) => {
		incoming.resume();
		response.writeHead(200, {...upstreamMark, attempt: 'a1'});
		response.end('x'.repeat(size));
	}, longGracePeriod);
	const order: string[] = [];
	let isWhole = false;
	const outgoing = request({
		...splitAddress(host!.callers), path: '/book/1', method: 'POST', headers: {attempt: 'a1'},
	});
	const received = new Promise<void>(resolve => {
		outgoing.on('response', message => {
			message.pause();
			setTimeout(() => {
				order.push('read');
				message.resume();
			}, readingDelay);
			message.on('close', () => {
				isWhole = message.complete;
				resolve();
			});
		});
	});
	outgoing.end();
	await sleep(300);
	const stopped = (async () => {
		await host!.host.stop();
		order.push('stopped');
		expect(host!.host.getMetricsPage()).toContain('gentianlift_requests_open 0');
	})();
	await Promise.all([received, stopped]);
	expect(order).toEqual(['read', 'stopped']);
	expect(isWhole).toBe(true);
});

/** Lets a call wait in the queue of a second host, which got it from the first; another one runs there. */
const queueOverHost = async (fleet: LinkedFleet): Promise<Record<'running' | 'queued', Promise<TestAnswer | 'lost'>> & {runs: number}> => {
	const [first, second] = fleet.hosts;
	fleet.setLinks([0], 'reset');
	await expect.poll(async () => {
		void sendRequest(first!.callers, {path: '/read/1', headers: {attempt: 'probe'}}).catch(() => undefined);
		return first!.logLines.some(line => line.includes('event=call-forwarded'));
	}, {timeout: 5000, interval: 200}).toBe(true);
	const running = sendLong(second!.callers, 'running');
	await sleep(200);
	const runs = fleet.counts[0]!;
	const queued = sendLong(first!.callers, 'queued');
	await sleep(300);
	return {running, queued, runs};
};

// Guards against: a call in the queue of another host that stops is lost there, or answered as if nobody knew whether it ran.
test('a stopping host gives a queued call that another host has forwarded back to it', async () => {
	const fleet = await startFleet(2, hang);
	const [, second] = fleet.hosts;
	const {running, queued, runs} = await queueOverHost(fleet);
	await second!.host.stop();
	expect(await getStatuses([running, queued])).toEqual([502, 503]);
	expect(second!.logLines.some(line => line.includes('event=call-ended request=queued') && line.includes('reason=misdirected'))).toBe(true);
	expect(fleet.counts[0]).toBe(runs);
});

// Guards against: a call that waits for another host ends without an answer as both hosts stop.
test.each([[0, 0], [0, 400], [400, 0]])('a call in the queue of another host is answered as both stop, after %i and %i ms', async (firstDelay, secondDelay) => {
	const fleet = await startFleet(2, hang);
	const {running, queued, runs} = await queueOverHost(fleet);
	await Promise.all(fleet.hosts.map(async ({host}, index) => {
		await sleep(index === 0 ? firstDelay : secondDelay);
		await host.stop();
	}));
	const [runningStatus, queuedStatus] = await getStatuses([running, queued]);
	expect(runningStatus).toBe(502);
	// The first host may have to end before it learns that the call hasn't run.
	expect([502, 503]).toContain(queuedStatus);
	const {body} = await queued as TestAnswer;
	expect(body).toContain(queuedStatus === 503 ? '"ran":"not-run"' : '"ran":"unknown"');
	expect(fleet.counts[0]).toBe(runs);
});

// Guards against: a second signal to stop ends the process at once, with all requests that it has.
test('a second request to stop waits for the first', async () => {
	const {hosts: [host], counts} = await startFleet(1, hang);
	const running = sendLong(host!.callers, 'running');
	await expect.poll(() => counts).toEqual([1]);
	void host!.host.stop();
	await host!.host.stop();
	expect(await getStatuses([running])).toEqual([502]);
});

// Guards against: a kept connection of a stopping host is closed on a request that was taken.
test('requests on kept connections are answered at each moment of the grace period', async () => {
	const {hosts: [host], counts} = await startFleet(1, (incoming, response) => {
		setTimeout(() => {
			answerOk(incoming, response);
		}, 100);
	});
	const agent = new Agent({keepAlive: true, maxSockets: 4});
	onTestFinished(() => {
		agent.destroy();
	});
	const send = async (number: number): Promise<number | string> => new Promise(resolve => {
		const outgoing = request({
			...splitAddress(host!.callers), path: '/book/1', method: 'POST', agent, headers: {attempt: `k${number}`, 'content-length': 0},
		}, message => {
			message.resume();
			message.on('close', () => {
				resolve(message.complete ? message.statusCode ?? 0 : 'cut');
			});
		});
		outgoing.on('error', error => {
			resolve((error as Error & {code: string}).code);
		});
		outgoing.end();
	});
	const answers = [await send(0)];
	const stopped = host!.host.stop();
	const pending: Array<Promise<number | string>> = [];
	for (let number = 1; number < gracePeriod / 20; number++) {
		pending.push(send(number));
		// eslint-disable-next-line no-await-in-loop -- Requests are sent at intervals.
		await sleep(20);
	}

	await stopped;
	answers.push(...await Promise.all(pending));
	expect(new Set(answers)).toEqual(new Set([200, 503]));
	expect(counts[0]).toBe(answers.filter(status => status === 200).length);
});
