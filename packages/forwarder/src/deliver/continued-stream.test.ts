import {expect, onTestFinished, test} from 'vitest';
import {createHostStarter, type AnswerHandler} from '../test-deployment.js';
import {
	sendRequest, waitForEnd, type TestAnswer, type TestHost,
} from '../testing.js';
import {answerInTurn} from '../testing-turns.js';
import {answerRaw, type RawAnswer} from './testing-answers.js';
import {
	createBreakOff, finishStream, streamBody, wholeStream, writeEvents,
} from './testing-streams.js';

const start = createHostStarter(onTestFinished);

/** Starts a host with three upstreams of one version, which answer in turn. */
const startInTurn = async (...handlers: AnswerHandler[]): Promise<TestHost> => {
	const answer = answerInTurn(...handlers);
	const stub = {answer, softwareVersion: 'v1'};
	const {host} = await start(stub, stub, stub);
	return host;
};

/** What the caller of a stream has seen, and how often the end of its call was logged. */
type Seen = {body: string; isComplete: boolean; ends: number};

const describe = async (host: TestHost, {body, isComplete}: TestAnswer): Promise<Seen> => {
	await waitForEnd(host, 'a1');
	return {body, isComplete, ends: host.logLines.filter(line => line.includes('event=call-ended request=a1 ')).length};
};

/** Whether a host is certain which version began the stream of the request `a1`; right after it had no processor time, it isn't, and the stream couldn't go on. */
const isVersionKnown = ({context: {streamOrigins, clock}}: TestHost): boolean => streamOrigins.get('a1', clock.monotonic()) !== undefined;

/** Returns what the caller of a stream sees that breaks off after event 2, whose second upstream gives an answer, and whose third one others. */
const getSeen = async (second: AnswerHandler, third: AnswerHandler): Promise<Seen> => {
	const host: TestHost = await startInTurn(createBreakOff(() => isVersionKnown(host)), second, third);
	return describe(host, await sendRequest(host.port, {path: '/thrice/1', headers: {attempt: 'a1'}}));
};

const whole: Seen = {body: wholeStream, isComplete: true, ends: 1};
const cut: Seen = {body: writeEvents(1, 2), isComplete: false, ends: 1};

const json = '{"error":"x"}';
const framings = ['length', 'chunks', 'close'] as const;
const endings = ['framed', 'closed', 'reset'] as const;
const statuses = [201, 202, 203, 206, 300, 302, 307, 400, 401, 404, 408, 409, 410, 413, 429, 500, 501, 502, 503, 504, 599];

/** Answers of all framings and ends; one without length or chunks can't be framed. */
const getAnswers = (answer: Pick<RawAnswer, 'status' | 'contentType' | 'body'>): RawAnswer[] =>
	framings.flatMap(framing => endings.map(ending => ({...answer, framing, ending}))).filter(({framing, ending}) => framing !== 'close' || ending !== 'framed');

const answers = [
	...statuses.flatMap(status => getAnswers({status, contentType: 'application/json', body: json})),
	...statuses.flatMap(status => getAnswers({status, contentType: 'text/event-stream', body: writeEvents(3, 4)})),
	...getAnswers({status: 200, contentType: 'application/json', body: json}),
];

const describeAnswer = ({status, contentType, framing, ending}: RawAnswer): string => [status, contentType, framing, ending].join(' ');

/** Number of hosts that run at once: with many in one process, each is late to confirm what it knows of the fleet. */
const hostsAtOnce = 8;

/** Returns what is seen of each answer that differs from what is expected. */
const findDeviations = async (cases: readonly RawAnswer[], third: AnswerHandler, expected: Seen): Promise<Array<[string, Seen]>> => {
	const seen: Array<[string, Seen]> = [];
	for (let first = 0; first < cases.length; first += hostsAtOnce) {
		// eslint-disable-next-line no-await-in-loop -- A few hosts run at once.
		seen.push(...await Promise.all(cases.slice(first, first + hostsAtOnce).map(async (answer): Promise<[string, Seen]> => [describeAnswer(answer), await getSeen(answerRaw(answer), third)])));
	}

	return seen.filter(([, one]) => JSON.stringify(one) !== JSON.stringify(expected));
};

// Guards against: an upstream's error, written into a stream that has begun, ends the call by an exception, and no third upstream goes on with the stream.
test('an answer that can\'t continue a stream that has begun is passed over: a third upstream goes on', async () => {
	expect(await findDeviations(answers, finishStream, whole)).toEqual([]);
});

// Guards against: as before, and the call ends without a line in the log, its deadline goes on to run.
test('a stream that no upstream continues is cut after its last event, and its end is logged once', async () => {
	const last = answerRaw({
		status: 404, contentType: 'application/json', body: json, framing: 'length', ending: 'framed',
	});
	expect(await findDeviations(answers.filter(({ending}) => ending === 'framed'), last, cut)).toEqual([]);
});

test('an answer without a body passes for no continuation either', async () => {
	const noContent: AnswerHandler = (_, response) => {
		response.writeHead(204, {signed: '1'});
		response.end();
	};

	expect(await getSeen(noContent, finishStream)).toEqual(whole);
	expect(await getSeen(noContent, noContent)).toEqual(cut);
});

const bodies: Array<[string, string]> = [
	['events without id', 'data: x\n\ndata: y\n\n'],
	['an event that tells of an error', 'event: error\ndata: {"error":"x"}\n\n'],
	['an event that tells of an error before the next one', `event: error\ndata: x\n\n${writeEvents(3, 4)}`],
	['events that the caller has', writeEvents(1, 2)],
	['fewer events than the caller has', writeEvents(1, 1)],
	['no event', ''],
	['a comment', ': nothing to say\n\n'],
	['the last event without those before it', writeEvents(4, 4)],
];

// Guards against: events that aren't the next ones of a stream reach its caller in the middle of it, or the end of such an answer passes for that of the stream.
test.each(bodies)('a stream of events that doesn\'t go on where the caller is passes for no continuation: %s', async (_, body) => {
	expect(await getSeen(streamBody(body), finishStream)).toEqual(whole);
	expect(await getSeen(streamBody(body), streamBody(body))).toEqual(cut);
});

test('a continuation may repeat what the caller has, and say things beside the numbered events once it has gone on', async () => {
	expect(await getSeen(streamBody(wholeStream), finishStream)).toEqual(whole);
	const rest = `${writeEvents(3, 4)}data: [DONE]\n\n`;
	expect(await getSeen(streamBody(rest), finishStream)).toEqual({...whole, body: writeEvents(1, 2) + rest});
});

// Guards against: a stream without ids, or with an event without one, begins anew or loses that event in the middle of its caller's answer.
test.each(['data: x\n\n', `${writeEvents(1, 2)}data: x\n\n`])('a stream whose events can\'t be told apart by their ids is cut when it breaks off: %j', async body => {
	const host = await startInTurn((request, response) => {
		response.writeHead(200, {signed: '1', 'content-type': 'text/event-stream'});
		response.write(body, () => {
			setTimeout(() => {
				request.socket.resetAndDestroy();
			}, 20);
		});
	}, finishStream);
	expect(await describe(host, await sendRequest(host.port, {path: '/thrice/1', headers: {attempt: 'a1'}}))).toEqual({body, isComplete: false, ends: 1});
});

// Guards against: a caller that takes its stream up again gets events that don't go on where it is.
test.each(bodies.slice(0, 3))('a caller that takes up a stream gets no events that don\'t go on: %s', async (_, body) => {
	const host = await startInTurn(streamBody(body), finishStream);
	const headers = {attempt: 'a1', 'last-event': '2', resumes: 'a0'};
	expect(await sendRequest(host.port, {path: '/thrice/1', headers})).toMatchObject({status: 200, body: writeEvents(3, 4), isComplete: true});
});

test('a caller that takes up a stream gets an upstream\'s own answer', async () => {
	const host = await startInTurn(answerRaw({
		status: 404, contentType: 'application/json', body: json, framing: 'length', ending: 'framed',
	}));
	expect(await sendRequest(host.port, {path: '/thrice/1', headers: {attempt: 'a1', 'last-event': '2', resumes: 'a0'}})).toMatchObject({status: 404, body: json});
	const ended = await startInTurn(streamBody(''));
	expect(await sendRequest(ended.port, {path: '/thrice/1', headers: {attempt: 'a1', 'last-event': '4', resumes: 'a0'}})).toMatchObject({status: 200, body: '', isComplete: true});
});
