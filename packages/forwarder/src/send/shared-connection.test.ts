import type {IncomingMessage, ServerResponse} from 'node:http';
import {expect, onTestFinished, test} from 'vitest';
import {upstreamMark, createHostStarter, type AnswerHandler} from '../test-deployment.js';
import {sendRequest, type TestAnswer} from '../testing.js';

const start = createHostStarter(onTestFinished);

/** Time between the two parts of an answer, in milliseconds. */
const partInterval = 20;
/** Size of a fleet in which a host's connection pool for an upstream has four connections. */
const hostCount = 75;
/** Several requests for each connection of the pool. */
const requestCount = 20;

const writeInTwoParts = (request: IncomingMessage, response: ServerResponse, contentType: string): void => {
	response.writeHead(200, {...upstreamMark, attempt: request.headers.attempt ?? '', 'content-type': contentType});
	response.write('id: 1\ndata: a\n\n');
	setTimeout(() => {
		response.end('id: 2\ndata: b\n\n');
	}, partInterval);
};

const answerStream: AnswerHandler = (request, response) => {
	writeInTwoParts(request, response, 'text/event-stream');
};

const answerBooking: AnswerHandler = (request, response) => {
	writeInTwoParts(request, response, 'text/plain');
};

/** Sends concurrent requests to a host of a large fleet with one upstream. */
const sendMany = async (answer: AnswerHandler, path: string): Promise<TestAnswer[]> => {
	const {host} = await start(answer);
	host.context.countHosts = () => hostCount;
	const indexes = Array.from({length: requestCount}, (_, index) => index);
	return Promise.all(indexes.map(async index => sendRequest(host.port, {path: `${path}${index}`, headers: {attempt: `a${index}`}})));
};

const isWhole = ({status, body, isComplete}: TestAnswer): boolean =>
	status === 200 && isComplete && body === 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';

// A stream that got its connection directly from a finished one was cut at its first bytes, as they were taken for bytes after the finished answer.
test('a stream is delivered whole on a connection that another answer has just left', async () => {
	const answers = await sendMany(answerStream, '/once/');
	expect(answers.filter(answer => !isWhole(answer))).toEqual([]);
});

// The answer to a booking that got its connection directly from a finished one was lost after the booking had run.
test('the answer to a booking is delivered whole on a connection that another answer has just left', async () => {
	const answers = await sendMany(answerBooking, '/book/');
	expect(answers.filter(answer => !isWhole(answer))).toEqual([]);
});
