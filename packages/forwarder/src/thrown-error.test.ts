import {expect, onTestFinished, test} from 'vitest';
import {createStubHostStarter} from './links/testing-stub-hosts.js';
import {answerOk, createHostStarter, type AnswerHandler} from './test-deployment.js';
import {sendRequest, waitForEnd, type TestHost} from './testing.js';
import {breakOffStream} from './deliver/testing-streams.js';

const start = createHostStarter(onTestFinished);
const startWithStubHosts = createStubHostStarter(onTestFinished);

const fail = (): never => {
	throw new Error('test of a thrown error');
};

const countEnds = ({logLines}: TestHost): number => logLines.filter(line => line.includes('event=call-ended request=a1 ')).length;

// Guards against: a call whose handling throws ends without a line in the log, and its load stays counted.
test('a call whose attempt throws is answered, and its end is logged and counted once', async () => {
	const {host, upstreams} = await start(answerOk);
	host.context.tracker.getAgent = fail;
	expect(await sendRequest(host.port, {path: '/read/1', headers: {attempt: 'a1'}})).toMatchObject({status: 500});
	expect(await waitForEnd(host, 'a1')).toMatch(/outcome=own-answer reason=internal/v);
	expect(countEnds(host)).toBe(1);
	expect(host.logLines.some(line => line.includes('event=call-failed request=a1 ') && line.includes('test of a thrown error'))).toBe(true);
	expect(host.loads.getTotalLoad(`${upstreams[0]!.id}@1`)).toMatchObject({running: 0, unreadTokens: 0});
});

// Guards against: as before, after the deadline, whose answer is cut.
test('a call that throws after its deadline was answered keeps that answer', async () => {
	const {host} = await start((_, response) => {
		setTimeout(() => {
			response.destroy();
		}, 300);
	});
	host.context.tracker.trackRequest = () => ({recordBytes: () => undefined, end: fail});
	const answer = await sendRequest(host.port, {path: '/book/1', headers: {attempt: 'a1', timeout: '100'}});
	expect(answer).toMatchObject({status: 504, isComplete: true});
	await waitForEnd(host, 'a1');
	expect(countEnds(host)).toBe(1);
});

test('a stream that throws once it has begun is cut, and its end is logged once', async () => {
	const {host} = await start(breakOffStream);
	host.context.tracker.recordResult = fail;
	expect(await sendRequest(host.port, {path: '/stream/1', headers: {attempt: 'a1'}})).toMatchObject({status: 200, isComplete: false});
	expect(await waitForEnd(host, 'a1')).toMatch(/outcome=cut reason=internal/v);
	expect(countEnds(host)).toBe(1);
});

// Guards against: a mistake in what is recorded of an answer cuts that answer off.
test('a call that throws once its answer is written keeps that answer', async () => {
	const {host} = await start((request, response) => {
		response.writeHead(200, {signed: '1', attempt: request.headers.attempt ?? ''});
		response.end('x'.repeat(1_000_000));
	});
	host.context.tracker.recordResult = fail;
	const {status, body, isComplete} = await sendRequest(host.port, {path: '/read/1', headers: {attempt: 'a1'}});
	expect([status, body.length, isComplete]).toEqual([200, 1_000_000, true]);
	expect(await waitForEnd(host, 'a1')).toMatch(/outcome=delivered reason=internal/v);
});

// Guards against: the forwarding counts as under way for ever, so that the other host is passed over.
test('a call that throws while it goes over a host ends its forwarding', async () => {
	const {deployment: {host}} = await startWithStubHosts(answerOk);
	const {links} = host.context;
	let underWay = 0;
	links.beginForwarding = () => {
		underWay += 1;
		return () => {
			underWay -= 1;
		};
	};

	host.context.hostAgents.get = fail;
	expect(await sendRequest(host.port, {path: '/read/1', headers: {attempt: 'a1'}})).toMatchObject({status: 500});
	expect(underWay).toBe(0);
	expect(await waitForEnd(host, 'a1')).toMatch(/outcome=own-answer reason=internal/v);
});

/** Writes an answer with a status that isn't one. */
const answerStatus = (status: string, contentType: string): AnswerHandler => ({socket}) => {
	socket.end(`HTTP/1.1 ${status} -\r\nSigned: 1\r\nContent-Type: ${contentType}\r\nConnection: close\r\n\r\ndata: x\n\n`);
};

// Guards against: a status that can't be passed on throws where the head is written, for a stream outside of the call.
test.each(['text/event-stream', 'application/json'])('an answer whose status isn\'t one is a failed attempt: %s', async contentType => {
	for (const status of ['000', '099', '600', '999']) {
		// eslint-disable-next-line no-await-in-loop -- One host at a time.
		const {host} = await start(answerStatus(status, contentType));
		// eslint-disable-next-line no-await-in-loop -- One host at a time.
		expect(await sendRequest(host.port, {path: '/once/1', headers: {attempt: 'a1'}}), status).toMatchObject({status: 502});
		// eslint-disable-next-line no-await-in-loop -- One host at a time.
		expect(await waitForEnd(host, 'a1')).toContain('lastFailure=status-invalid');
	}
});

// Guards against: a call whose head can't be built waits until its deadline, as that is found out in a listener.
test('a call whose head can\'t be built is refused as not run', async () => {
	const {host, counts} = await start(answerOk);
	host.context.protocol = {...host.context.protocol, buildUpstreamHeaders: fail};
	expect(await sendRequest(host.port, {path: '/book/1', headers: {attempt: 'a1'}})).toMatchObject({status: 503});
	expect(await waitForEnd(host, 'a1')).toContain('outcome=own-answer');
	expect(host.logLines.some(line => line.includes('event=attempt-failed request=a1 ') && line.includes('kind=unsent reason="test of a thrown error"'))).toBe(true);
	expect(counts).toEqual([0]);
});
