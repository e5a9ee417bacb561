import {expect, onTestFinished, test} from 'vitest';
import {createStream, startLinkedFleet} from '../links/testing-partition.js';
import {
	answerOk, configuration, createHostStarter, sum, upstreamMark, type AnswerHandler,
} from '../test-deployment.js';
import {
	sendRequest, startUpstream, waitForEnd, type TestHost,
} from '../testing.js';

const start = createHostStarter(onTestFinished);

/** Leaves no retry to a host. */
const spendBudget = ({context}: TestHost): void => {
	Object.assign(context.retryLimit, {ratio: 0, minimum: 0});
};

/** Answers after a time that is longer than an attempt may take while another one can follow, and shorter than the route's timeout. */
const answerLate: AnswerHandler = (request, response) => {
	setTimeout(() => {
		answerOk(request, response);
	}, 900);
};

/** Streams three events, with a silence before the last; a request that resumes gets the rest at once. */
const streamWithSilence: AnswerHandler = (request, response) => {
	response.writeHead(200, {...upstreamMark, 'content-type': 'text/event-stream', attempt: request.headers.attempt ?? ''});
	response.write('id: 1\ndata: x\n\nid: 2\ndata: x\n\n');
	setTimeout(() => {
		response.end('id: 3\ndata: x\n\n');
	}, 2000);
};

// Guards against: an attempt that would be answered in time is given up for its silence before it is known that the budget allows another.
test('a silent attempt goes on when the retry budget is spent', async () => {
	const {host, counts} = await start(answerLate, answerLate);
	spendBudget(host);
	expect(await sendRequest(host.port, {path: '/read/1', headers: {attempt: 'a1'}})).toMatchObject({status: 200, body: 'ok'});
	expect(sum(counts)).toBe(1);
	expect(host.logLines.some(line => line.includes('event=attempt-silent request=a1') && line.includes('decision=budget'))).toBe(true);
});

// Guards against: the same, when there is no other upstream.
test('a silent attempt goes on when there is no other upstream', async () => {
	const {host, counts} = await start(answerLate);
	expect(await sendRequest(host.port, {path: '/read/1', headers: {attempt: 'a1'}})).toMatchObject({status: 200, body: 'ok'});
	expect(counts).toEqual([1]);
});

test('a silent attempt is given up when another one is granted', async () => {
	const {host, counts} = await start(answerLate, answerOk);
	const answers = await Promise.all(Array.from({length: 6}, async (_, index) => sendRequest(host.port, {path: '/read/1', headers: {attempt: `a${index}`}})));
	expect(new Set(answers.map(({status}) => status))).toEqual(new Set([200]));
	expect(sum(counts)).toBeGreaterThan(6);
});

// Guards against: a stream whose sound upstream is silent for a second or two is cut, as no other attempt may follow.
test.each([
	['the retry budget is spent', 2, spendBudget],
	['there is no other upstream', 1, () => undefined],
])('a silent stream goes on when %s', async (_, upstreams, prepare) => {
	const {host, counts} = await start(...Array.from({length: upstreams}, () => streamWithSilence));
	prepare(host);
	const {body, isComplete} = await sendRequest(host.port, {path: '/stream/1', headers: {attempt: 'a1'}});
	expect(isComplete).toBe(true);
	expect(body.match(/id: \d/gv)).toEqual(['id: 1', 'id: 2', 'id: 3']);
	expect(sum(counts)).toBe(1);
});

// Guards against: the same while a host stops.
test('a silent stream of a stopping host goes on when no other attempt may follow', async () => {
	const {hosts: [host], counts} = await startLinkedFleet({
		hosts: 1, upstreams: [streamWithSilence], configuration, gracePeriod: 8000, onFinished: onTestFinished,
	});
	const answer = sendRequest(host!.callers, {path: '/stream/1', headers: {attempt: 'a1'}});
	await expect.poll(() => counts).toEqual([1]);
	const stopped = host!.host.stop();
	expect(await answer).toMatchObject({status: 200, isComplete: true});
	await stopped;
}, 15_000);

test('streams whose upstream is never silent are sent once', async () => {
	const {host, counts} = await start(createStream(5, 50), createStream(5, 50));
	expect(await sendRequest(host.port, {path: '/stream/1', headers: {attempt: 'a1'}})).toMatchObject({isComplete: true});
	expect(await waitForEnd(host, 'a1')).toContain('sends=1');
	expect(sum(counts)).toBe(1);
});

// Guards against: a silent attempt that isn't given up though the budget allows a retry, as one was granted before and lost when it could not be sent.
test('a retry that was granted to a silent attempt and not sent goes back to the budget', async () => {
	const {host, upstreams: [late, sound], counts} = await start((request, response) => {
		host.setUpstreams([late!, counts[0] === 1 ? refusing.upstream : sound!]);
		answerLate(request, response);
	}, answerOk);
	const refusing = await startUpstream('refusing', () => undefined);
	refusing.server.close();
	Object.assign(host.context.retryLimit, {ratio: 0, minimum: 2});
	host.setUpstreams([late!]);
	await sendRequest(host.port, {path: '/read/1', headers: {attempt: 'a1'}});
	expect(await waitForEnd(host, 'a1')).toContain('sends=1 ');
	host.setUpstreams([late!]);
	expect(await sendRequest(host.port, {path: '/read/1', headers: {attempt: 'a2'}})).toMatchObject({status: 200, body: 'ok'});
	expect(host.logLines.filter(line => line.includes('event=attempt-silent')).map(line => /decision=\w+/v.exec(line)?.[0])).toEqual(['decision=resend', 'decision=resend']);
	expect(counts).toEqual([2, 1]);
});
