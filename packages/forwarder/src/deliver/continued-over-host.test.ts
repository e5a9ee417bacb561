import {expect, onTestFinished, test} from 'vitest';
import {createStubHostStarter} from '../links/testing-stub-hosts.js';
import {encodeForwardedCall} from '../links/forwarded-call.js';
import {startLinkedFleet} from '../links/testing-partition.js';
import {configuration, sum, type AnswerHandler} from '../test-deployment.js';
import {sendRequest, waitForEnd} from '../testing.js';
import {answerInTurn} from '../testing-turns.js';
import {answerRaw} from './testing-answers.js';
import {
	breakOffStream, finishStream, streamBody, wholeStream, writeEvents,
} from './testing-streams.js';

const start = createStubHostStarter(onTestFinished);

const fail: AnswerHandler = answerRaw({
	status: 404, contentType: 'application/json', body: '{"error":"x"}', framing: 'length', ending: 'framed',
});
const answerJson: AnswerHandler = answerRaw({
	contentType: 'application/json', body: '{}', framing: 'length', ending: 'framed',
});
const answerUnavailable: AnswerHandler = (_, response) => {
	response.writeHead(503, {'content-type': 'application/json'});
	response.end('{}');
};

/** Continues the stream of a request that the other host has forwarded, whose target tells of the last event. */
const continueStream: AnswerHandler = (_, response) => {
	response.writeHead(200, {signed: '1', 'content-type': 'text/event-stream'});
	response.end(writeEvents(3, 4));
};

/** Sends a stream over stub hosts. */
const sendOver = async (...hosts: AnswerHandler[]) => {
	const {deployment: {host}, received} = await start(...hosts);
	host.context.streamOrigins.add({request: 'a1', service: 's', softwareVersion: 'v1'}, host.context.clock.monotonic());
	const answer = await sendRequest(host.port, {path: '/thrice/1', headers: {attempt: 'a1'}});
	await waitForEnd(host, 'a1');
	const ends = host.logLines.filter(line => line.includes('event=call-ended request=a1 '));
	return {answer, received, ends: ends.length};
};

// Guards against: the error of another host, or of its upstream, written into a stream that has begun, ends the call by an exception.
test.each([
	['an error', fail],
	['JSON', answerJson],
	['what the host says for itself', answerUnavailable],
	['an event that tells of an error', streamBody('event: error\ndata: x\n\n')],
	['no event', streamBody('')],
])('a stream that has begun goes on over a third host when the second one can\'t go on: %s', async (_, second) => {
	const {answer, received, ends} = await sendOver(breakOffStream, second, continueStream);
	expect(answer).toMatchObject({status: 200, body: wholeStream, isComplete: true});
	expect(received).toEqual(['h0', 'h1', 'h2']);
	expect(ends).toBe(1);
});

test('a stream that no host goes on with is cut after its last event', async () => {
	const {answer, ends} = await sendOver(breakOffStream, fail, answerJson);
	expect(answer).toMatchObject({status: 200, body: writeEvents(1, 2), isComplete: false});
	expect(ends).toBe(1);
});

/** Forwards the rest of a stream to a host as another host does, whose caller has the head and two events. */
const forwardRest = async (hasBegun: boolean, ...upstreams: AnswerHandler[]) => {
	const answer = answerInTurn(...upstreams);
	const {hosts, counts} = await startLinkedFleet({
		hosts: 1, upstreams: [answer, answer, answer], configuration, onFinished: onTestFinished,
	});
	const forwarded = {
		from: 'hx', age: 0, version: 1, service: 's', possibleExecutions: 1,
		resumption: {lastEventId: 2, softwareVersion: 'v1', ...(hasBegun && {hasBegun})},
	};
	const received = await sendRequest(hosts[0]!.peers, {path: encodeForwardedCall({forwarded, target: '/thrice/1'}), headers: {attempt: 'a1'}});
	return {received, executions: sum(counts)};
};

// Guards against: a host that is to go on with another one's stream gives up at its first upstream's error, which the other can't deliver.
test('a host that goes on with a stream for another one passes over an upstream\'s error', async () => {
	const {received, executions} = await forwardRest(true, fail, finishStream);
	expect(received).toMatchObject({status: 200, body: writeEvents(3, 4), isComplete: true});
	expect(executions).toBe(2);
});

test('a host returns an upstream\'s error to another one whose caller has nothing of the answer yet', async () => {
	const {received, executions} = await forwardRest(false, fail, finishStream);
	expect(received).toMatchObject({status: 404, body: '{"error":"x"}'});
	expect(executions).toBe(1);
});
