import {request} from 'node:http';
import type {StartedStream} from '@gentianlift/routing';
import {expect, onTestFinished, test} from 'vitest';
import {
	createHostStarter, resetConnection, sum, upstreamMark, type StubUpstream,
} from '../test-deployment.js';
import {sendRequest, waitForEnd, type TestHost} from '../testing.js';

const start = createHostStarter(onTestFinished);

const stream = {...upstreamMark, 'content-type': 'text/event-stream'};
/** Returns the events that an upstream of a version writes. */
const getEvents = (version: string, from: number, to: number): string => Array.from({length: to - from + 1}, (_, index) => `id: ${from + index}\ndata: ${version}\n\n`).join('');

/** Ends a stream after its event 4; begins after the last event that the caller has. */
const finishStream = (softwareVersion: string): StubUpstream => ({
	softwareVersion,
	answer(request, response) {
		response.writeHead(200, stream);
		response.end(getEvents(softwareVersion, Number(request.headers['last-event'] ?? 0) + 1, 4));
	},
});

/** Resets the connection of a stream after event 2. */
const breakOff = (softwareVersion: string): StubUpstream => ({
	softwareVersion,
	answer(request, response) {
		response.writeHead(200, stream);
		response.write(getEvents(softwareVersion, 1, 2), () => {
			setTimeout(() => {
				request.socket.resetAndDestroy();
			}, 20);
		});
	},
});

/** Sends a request that takes up the stream of another after its event 2. */
const takeUp = async (host: TestHost, attempt: string, resumes: string) => sendRequest(host.port, {path: '/stream/1', headers: {attempt, 'last-event': '2', resumes}});

test('the software versions of a stream and the request that it resumes are logged', async () => {
	const {host} = await start(finishStream('v1'));
	await sendRequest(host.port, {path: '/stream/1', headers: {attempt: 'a1'}});
	expect(await waitForEnd(host, 'a1')).toMatch(/ software=v1 /v);
	await takeUp(host, 'a2', 'a1');
	expect(await waitForEnd(host, 'a2')).toMatch(/ resumes=a1 after=2 software=v1 /v);
});

// Guards against: the events of two software versions in one answer.
test('a stream isn\'t resumed on an upstream of another version: its answer is cut', async () => {
	const {host, counts} = await start(breakOff('v1'), breakOff('v1'), finishStream('v2'));
	const answers = await Promise.all(Array.from({length: 12}, async (_, index) => sendRequest(host.port, {path: '/stream/1', headers: {attempt: `a${index}`}})));
	expect(answers.filter(({body}) => body.includes('v1') && body.includes('v2'))).toEqual([]);
	const whole = new Set([getEvents('v2', 1, 4)]);
	expect(answers.filter(({body, isComplete}) => isComplete && !whole.has(body))).toEqual([]);
	expect(answers.some(({isComplete}) => !isComplete)).toBe(true);
	expect(sum(counts)).toBeGreaterThan(12);
});

test('a stream is resumed on another upstream of its version', async () => {
	const {host, counts} = await start(breakOff('v1'), finishStream('v1'));
	const answers = await Promise.all(Array.from({length: 6}, async (_, index) => sendRequest(host.port, {path: '/stream/1', headers: {attempt: `a${index}`}})));
	expect(answers.map(({body, isComplete}) => isComplete ? body : 'cut')).toEqual(answers.map(() => getEvents('v1', 1, 4)));
	expect(counts.every(count => count > 0)).toBe(true);
});

test('a stream whose first event has not been delivered may begin at any version', async () => {
	const {host} = await start({softwareVersion: 'v1', answer: resetConnection}, finishStream('v2'));
	const answers = await Promise.all(Array.from({length: 6}, async (_, index) => sendRequest(host.port, {path: '/stream/1', headers: {attempt: `a${index}`}})));
	expect(answers.filter(({status, body}) => status === 200 && body !== getEvents('v2', 1, 4))).toEqual([]);
	expect(answers.some(({status}) => status === 200)).toBe(true);
});

// Guards against: a caller that takes its stream up again gets events of another version than it has.
test('a caller that takes up a stream gets events of its version, or at once the answer that nothing has run', async () => {
	const {host, upstreams, counts} = await start(breakOff('v1'), finishStream('v2'), finishStream('v1'));
	host.setUpstreams(upstreams.slice(0, 1));
	expect(await sendRequest(host.port, {path: '/stream/1', headers: {attempt: 'a1'}})).toMatchObject({isComplete: false});
	host.setUpstreams(upstreams.slice(1, 2));
	const refused = await takeUp(host, 'a2', 'a1');
	expect(refused.status).toBe(503);
	expect(refused.body).toContain('"ran":"not-run"');
	expect(counts[1]).toBe(0);
	host.setUpstreams(upstreams.slice(1));
	// Its first event came with a1, however often the caller has tried since.
	expect(await takeUp(host, 'a3', 'a1')).toMatchObject({status: 200, body: getEvents('v1', 3, 4), isComplete: true});
	expect(counts).toEqual([1, 0, 1]);
});

// Guards against: a stream of which a host knows nothing goes on at any version.
test('a stream of an unknown version isn\'t taken up while two versions serve', async () => {
	const {host, counts} = await start(finishStream('v1'), finishStream('v2'));
	const refused = await takeUp(host, 'a2', 'unknown');
	expect(refused).toMatchObject({status: 503});
	expect(refused.body).toContain('"ran":"not-run"');
	expect(sum(counts)).toBe(0);
});

test('a stream of an unknown version is taken up while only one version has served', async () => {
	const {host} = await start(finishStream('v1'), finishStream('v1'));
	expect(await takeUp(host, 'a2', 'unknown')).toMatchObject({status: 200, body: getEvents('v1', 3, 4)});
});

// Guards against: a stream goes on at an upstream that has started again under its id with another version, before its new entry is known.
test('a stream isn\'t taken up at an upstream that has just crashed', async () => {
	let version = 'v1';
	const {host, upstreams, counts} = await start({
		softwareVersion: 'v1',
		answer(request, response) {
			response.writeHead(200, stream);
			response.write(getEvents(version, 1, 2));
			if (version === 'v1') {
				version = 'v2';
				setTimeout(() => {
					request.socket.resetAndDestroy();
				}, 20);
			} else {
				response.end();
			}
		},
	});
	await sendRequest(host.port, {path: '/stream/1', headers: {attempt: 'a1'}});
	host.context.tracker.recordUnreachable(upstreams[0]!, 'crashed');
	expect(await takeUp(host, 'a2', 'a1')).toMatchObject({status: 503});
	expect(counts).toEqual([1]);
});

// Guards against: a host whose view is old takes an upstream that has started again for one of its earlier version, and tells others so.
test('a stream whose version isn\'t certain when it begins can\'t go on', async () => {
	const {host, counts} = await start(breakOff('v1'), finishStream('v2'), finishStream('v1'));
	host.context.freshness.isCurrent = () => false;
	const answers = await Promise.all(Array.from({length: 12}, async (_, index) => sendRequest(host.port, {path: '/stream/1', headers: {attempt: `a${index}`}})));
	expect(answers.some(({isComplete}) => !isComplete)).toBe(true);
	expect(sum(counts)).toBe(12);
	expect(await takeUp(host, 'b1', 'a0')).toMatchObject({status: 503});
});

test('a stream that begins while the view falls behind can go on once the view has caught up', async () => {
	const {host} = await start(breakOff('v1'), finishStream('v2'));
	host.setUpstreams(host.context.view.getUpstreams('s').slice(0, 1));
	const {isCurrent} = host.context.freshness;
	host.context.freshness.isCurrent = () => false;
	expect(await sendRequest(host.port, {path: '/stream/1', headers: {attempt: 'a1'}})).toMatchObject({isComplete: false});
	expect(host.context.streamOrigins.get('a1', host.context.clock.monotonic())).toBeUndefined();
	host.context.freshness.isCurrent = isCurrent;
	await expect.poll(() => host.context.streamOrigins.get('a1', host.context.clock.monotonic())).toEqual({service: 's', softwareVersion: 'v1'});
});

// Guards against: a stream begins for a caller that has left while the host asked others about it.
test('a caller that leaves while the version of its stream is looked up is not served', async () => {
	const {host, counts} = await start(finishStream('v1'));
	const call = request({
		port: host.port, host: '127.0.0.1', path: '/stream/1', method: 'POST', headers: {attempt: 'a2', 'last-event': '2', resumes: 'unknown'},
	});
	call.on('error', () => undefined);
	host.context.askForStreamOrigin = async () => {
		call.destroy();
		await host.context.clock.sleep(100);
		return {service: 's', softwareVersion: 'v1'};
	};

	host.context.freshness.confirm = async () => false;
	call.end();
	await expect.poll(() => host.logLines.some(line => line.includes('event=call-broken request=a2 '))).toBe(true);
	expect(counts).toEqual([0]);
});

test('why a stream is not resumed is logged', async () => {
	const {host, upstreams} = await start(breakOff('v1'), finishStream('v2'));
	host.setUpstreams(upstreams.slice(0, 1));
	await sendRequest(host.port, {path: '/stream/1', headers: {attempt: 'a1'}});
	expect(host.logLines.join('\n')).toContain('event=resume-prevented request=a1 software=v1 reason=no-upstream');
	host.context.freshness.ensureCurrent = async () => false;
	await sendRequest(host.port, {path: '/stream/1', headers: {attempt: 'a2'}});
	expect(host.logLines.join('\n')).toContain('event=resume-prevented request=a2 software=v1 reason=view-not-current');
	host.context.freshness.isCurrent = () => false;
	await sendRequest(host.port, {path: '/stream/1', headers: {attempt: 'a3'}});
	expect(host.logLines.join('\n')).toContain('event=resume-prevented request=a3 reason=version-uncertain');
});

test('a stream that begins is told to the other hosts, one that may not be resumed or is resumed is not', async () => {
	const {host} = await start(finishStream('v1'));
	const told: StartedStream[] = [];
	host.context.reportExchange.addStream = stream => {
		told.push(stream);
	};

	await sendRequest(host.port, {path: '/stream/1', headers: {attempt: 'a1'}});
	await sendRequest(host.port, {path: '/once/1', headers: {attempt: 'a2'}});
	await takeUp(host, 'a3', 'a1');
	expect(told).toEqual([{request: 'a1', service: 's', softwareVersion: 'v1'}]);
});

// Guards against: a stream gets the version of an upstream that was replaced between the choice and the first event.
test('a stream whose upstream is no longer listed when it begins has no certain version', async () => {
	const {host, upstreams} = await start({
		softwareVersion: 'v1',
		answer(_request, response) {
			response.writeHead(200, stream);
			response.flushHeaders();
			setTimeout(() => {
				host.setUpstreams(upstreams.map(upstream => ({...upstream, startedAt: 2, softwareVersion: 'v2'})));
				response.end(getEvents('v2', 1, 4));
			}, 20);
		},
	});
	await sendRequest(host.port, {path: '/stream/1', headers: {attempt: 'a1'}});
	expect(host.context.streamOrigins.get('a1', host.context.clock.monotonic())).toBeUndefined();
	await host.context.clock.sleep(1200);
	expect(host.context.streamOrigins.get('a1', host.context.clock.monotonic())).toBeUndefined();
});

// Guards against: a resumed stream is sent to another service of its route.
test('a stream is resumed at the service that began it', async () => {
	const {host, counts} = await start(finishStream('v1'));
	host.context.random.next = () => 0.9;
	host.context.streamOrigins.add({request: 'a1', service: 's', softwareVersion: 'v1'}, host.context.clock.monotonic());
	expect(await sendRequest(host.port, {path: '/split/1', headers: {attempt: 'a2', 'last-event': '2', resumes: 'a1'}})).toMatchObject({status: 200});
	expect(counts).toEqual([1]);
	expect(await sendRequest(host.port, {path: '/split/1', headers: {attempt: 'a3'}})).toMatchObject({status: 503});
});

// Guards against: a stream goes on at an engine of another version, as neither names one.
test('a stream of an upstream without a version is not resumed elsewhere', async () => {
	const {host, counts} = await start(breakOff(''), finishStream(''));
	const answers = await Promise.all(Array.from({length: 6}, async (_, index) => sendRequest(host.port, {path: '/stream/1', headers: {attempt: `a${index}`}})));
	expect(answers.some(({isComplete}) => !isComplete)).toBe(true);
	expect(sum(counts)).toBe(6);
});

// Guards against: a stream goes on at an upstream that has started again under its id with another version, while the store is slow to tell (soak seed 52016).
test('a stream goes on over a new connection only once the store has confirmed what is at its other end', async () => {
	const {host, upstreams, counts} = await start(breakOff('v1'), finishStream('v1'));
	host.setUpstreams(upstreams.slice(0, 1));
	await sendRequest(host.port, {path: '/stream/1', headers: {attempt: 'a1'}});
	host.setUpstreams(upstreams.slice(1));
	host.context.freshness.confirm = async () => false;
	expect(await takeUp(host, 'a2', 'a1')).toMatchObject({status: 503});
	host.context.freshness.confirm = async () => {
		host.setUpstreams(upstreams.slice(1).map(upstream => ({...upstream, startedAt: 2, softwareVersion: 'v2'})));
		return true;
	};

	expect(await takeUp(host, 'a3', 'a1')).toMatchObject({status: 503});
	expect(counts).toEqual([1, 0]);
	host.setUpstreams(upstreams.slice(1));
	host.context.freshness.confirm = async () => true;
	expect(await takeUp(host, 'a4', 'a1')).toMatchObject({status: 200, body: getEvents('v1', 3, 4)});
});

test('a stream goes on over a connection that has lasted without a question to the store', async () => {
	const {host} = await start(finishStream('v1'));
	await sendRequest(host.port, {path: '/read/1', headers: {attempt: 'a0'}});
	host.context.streamOrigins.add({request: 'a1', service: 's', softwareVersion: 'v1'}, host.context.clock.monotonic());
	host.context.freshness.confirm = async () => false;
	expect(await takeUp(host, 'a2', 'a1')).toMatchObject({status: 503});
	await sendRequest(host.port, {path: '/read/2', headers: {attempt: 'a3'}});
	await host.context.clock.sleep(2000);
	expect(await takeUp(host, 'a4', 'a1')).toMatchObject({status: 200});
});
