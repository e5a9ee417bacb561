import {request, type ServerResponse} from 'node:http';
import {getUpstreamKey} from '@gentianlift/routing';
import {
	expect, onTestFinished, test, vi,
} from 'vitest';
import {
	answerOk, createHostStarter, sum, upstreamMark, type AnswerHandler,
} from '../test-deployment.js';
import {sendRequest, type TestHost} from '../testing.js';

const start = createHostStarter(onTestFinished);

/** Size of a fleet in which a host may use `connectionCount` connections to an upstream. */
const hostCount = 75;
const connectionCount = 4;

/** Creates an upstream that answers the request `a1` at once, and the others when `release` is called. */
const createBusyUpstream = (): {answer: AnswerHandler; release: () => void} => {
	const held: ServerResponse[] = [];
	return {
		answer(received, response) {
			if (received.headers.attempt === 'a1') {
				answerOk(received, response);
			} else {
				held.push(response);
			}
		},
		release() {
			for (const response of held) {
				response.writeHead(200, {...upstreamMark, connection: 'close'});
				response.end();
			}
		},
	};
};

/** Sends requests that their upstream holds, so that they use all connections to it; their deadlines are far beyond those of the tests. */
const useAllConnections = async (host: TestHost, counts: readonly number[]): Promise<void> => {
	host.context.countHosts = () => hostCount;
	for (let count = 0; count < connectionCount; count++) {
		void sendRequest(host.port, {path: '/slow-book/1', headers: {attempt: `held${count}`}}).catch(() => undefined);
	}

	await expect.poll(() => sum(counts)).toBe(connectionCount);
};

const getRunning = (host: TestHost): number => host.loads.getTotalLoad('u0@1').running;

// Guards against: a booking waits until its deadline for connections to one upstream while another one is free, and the busy one is avoided.
test('a request that gets no connection goes to another upstream, and the busy one is not avoided', async () => {
	const {host, counts} = await start(createBusyUpstream().answer, answerOk);
	const [busy, free] = host.context.view.getUpstreams('s');
	host.setUpstreams([busy!]);
	await useAllConnections(host, counts);
	host.setUpstreams([busy!, free!]);
	for (let failures = 0; failures < 4; failures++) {
		host.context.tracker.recordUnreachable(free!, 'test');
	}

	// The busy one may count as silent by now, and then the free one could be chosen as well.
	let isChosen = false;
	host.context.rests.isResting = upstream => upstream === getUpstreamKey(free!) && !isChosen;
	const pending = sendRequest(host.port, {path: '/book/1', headers: {attempt: 'a1'}});
	await expect.poll(() => getRunning(host)).toBe(connectionCount + 1);
	isChosen = true;
	expect(await pending).toMatchObject({status: 200});
	expect(counts).toEqual([connectionCount, 1]);
	expect(host.logLines.filter(line => line.includes('kind=unsent reason=pool-timeout'))).toHaveLength(1);
	expect(host.logLines.filter(line => line.includes('event=upstream-avoided') && line.includes(busy!.id))).toEqual([]);
});

// Guards against: a booking that was never sent ends with a 504, after which its caller must not repeat it.
test('a request that waits for a connection until its deadline is answered as not executed', async () => {
	const {answer, release} = createBusyUpstream();
	const {host, counts} = await start(answer);
	await useAllConnections(host, counts);
	const received = await sendRequest(host.port, {path: '/book/1', headers: {attempt: 'a1', timeout: '200'}});
	expect(received).toMatchObject({status: 503, headers: {'retry-after': '0.500'}});
	expect(received.body).toContain('"ran":"not-run"');
	release();
	await expect.poll(() => getRunning(host)).toBe(0);
	expect(sum(counts)).toBe(connectionCount);
});

// Guards against: a booking is executed long after its caller has left, as it still waited for a connection.
test('a request whose caller leaves while it waits for a connection is not sent', async () => {
	const {answer, release} = createBusyUpstream();
	const {host, counts} = await start(answer);
	await useAllConnections(host, counts);
	const outgoing = request({
		port: host.port, host: '127.0.0.1', path: '/book/1', method: 'POST', headers: {attempt: 'a1'},
	});
	outgoing.on('error', () => undefined);
	outgoing.end();
	await expect.poll(() => getRunning(host)).toBe(connectionCount + 1);
	outgoing.destroy();
	await host.context.clock.sleep(50);
	release();
	await expect.poll(() => getRunning(host)).toBe(0);
	expect(sum(counts)).toBe(connectionCount);
	expect(host.logLines.filter(line => line.includes('request=a1 ') && line.includes('outcome=caller-gone'))).toHaveLength(1);
});

test('the wait for a connection is recorded and logged, also of a request that gets none', async () => {
	const {answer, release} = createBusyUpstream();
	const {host, counts} = await start(answer);
	await useAllConnections(host, counts);
	await sendRequest(host.port, {path: '/book/1', headers: {attempt: 'late', timeout: '600'}});
	const waiting = sendRequest(host.port, {path: '/book/1', headers: {attempt: 'a1', timeout: '1500'}});
	await expect.poll(() => getRunning(host)).toBe(connectionCount + 1);
	release();
	expect(await waiting).toMatchObject({status: 200});
	const summary = host.context.metrics.getSummary('connection_wait', {service: 's'});
	expect(summary?.count).toBe(connectionCount + 2);
	expect(summary?.max).toBeGreaterThanOrEqual(150);
	await expect.poll(() => host.logLines.find(line => line.includes('event=call-ended request=late '))).toMatch(/connectionWait=\d{3,} .*outcome=/v);
	await expect.poll(() => host.logLines.find(line => line.includes('event=call-ended request=a1 '))).toMatch(/connectionWait=\d+ .*outcome=delivered/v);
});

// Guards against: an upstream works on for the time that a request waited for a connection, after its caller was answered.
test('an upstream receives the time that remains after the wait for a connection', async () => {
	const {answer, release} = createBusyUpstream();
	let remainingTime = Number.NaN;
	const {host, counts} = await start((received, response) => {
		remainingTime = Number(received.headers.timeout);
		answer(received, response);
	});
	await useAllConnections(host, counts);
	const pending = sendRequest(host.port, {path: '/book/1', headers: {attempt: 'a1', timeout: '1000'}});
	await expect.poll(() => getRunning(host)).toBe(connectionCount + 1);
	await host.context.clock.sleep(300);
	release();
	expect(await pending).toMatchObject({status: 200});
	expect(remainingTime).toBeLessThan(750);
});

// Guards against: an upstream counts as slow for the time that requests waited for this host's own connections.
test('the duration of a request counts from its sending', async () => {
	const {answer, release} = createBusyUpstream();
	const {host, counts} = await start(answer);
	await useAllConnections(host, counts);
	const pending = sendRequest(host.port, {path: '/book/1', headers: {attempt: 'a1'}});
	await expect.poll(() => getRunning(host)).toBe(connectionCount + 1);
	await host.context.clock.sleep(100);
	const durations: Array<number | undefined> = [];
	vi.spyOn(host.context.tracker, 'recordResult').mockImplementation((_upstream, _hasFailed, duration) => {
		durations.push(duration);
	});
	const releasedAt = host.context.clock.monotonic();
	release();
	expect(await pending).toMatchObject({status: 200});
	await expect.poll(() => durations.length).toBe(connectionCount + 1);
	expect(durations.at(-1)).toBeLessThanOrEqual(host.context.clock.monotonic() - releasedAt);
});

// Guards against: a request reaches an upstream that was removed, or is leaving, while the request waited for a connection.
test('a request that waits for a connection to an upstream that is removed goes to another one', async () => {
	const {answer, release} = createBusyUpstream();
	const {host, counts} = await start(answer, answerOk);
	const [busy, free] = host.context.view.getUpstreams('s');
	host.setUpstreams([busy!]);
	await useAllConnections(host, counts);
	const pending = sendRequest(host.port, {path: '/book/1', headers: {attempt: 'a1'}});
	await expect.poll(() => getRunning(host)).toBe(connectionCount + 1);
	host.setUpstreams([free!]);
	release();
	expect(await pending).toMatchObject({status: 200});
	expect(counts).toEqual([connectionCount, 1]);
});

// Guards against: a booking is sent as its host is about to end, and its caller is told that the outcome is unknown, as it had waited for a connection.
test('a request that gets a connection only when its host is about to end is answered as not executed', async () => {
	const {answer, release} = createBusyUpstream();
	const {host, counts} = await start(answer);
	await useAllConnections(host, counts);
	const pending = sendRequest(host.port, {path: '/book/1', headers: {attempt: 'a1'}});
	await expect.poll(() => getRunning(host)).toBe(connectionCount + 1);
	const servingEnd = host.context.clock.monotonic();
	host.context.getServingEnd = () => servingEnd;
	release();
	const received = await pending;
	expect(received).toMatchObject({status: 503});
	expect(received.body).toContain('"ran":"not-run"');
	expect(sum(counts)).toBe(connectionCount);
});
