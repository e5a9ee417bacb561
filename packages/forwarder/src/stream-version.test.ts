import {expect, onTestFinished, test} from 'vitest';
import {createHostStarter, upstreamMark, type AnswerHandler} from './test-deployment.js';
import {sendRequest, waitForEnd} from './testing.js';

const start = createHostStarter(onTestFinished);

const stream = {...upstreamMark, 'content-type': 'text/event-stream'};
const getEvents = (from: number, to: number): string => Array.from({length: to - from + 1}, (_, index) => `id: ${from + index}\ndata: ${from + index}\n\n`).join('');

/** Ends a stream after its event 4; begins after the last event that the caller has. */
const finishStream: AnswerHandler = (request, response) => {
	response.writeHead(200, stream);
	response.end(getEvents(Number(request.headers['last-event'] ?? 0) + 1, 4));
};

/** Resets the connection of a stream after event 2. */
const breakOff: AnswerHandler = (request, response) => {
	response.writeHead(200, stream);
	response.write(getEvents(1, 2), () => {
		setTimeout(() => {
			request.socket.resetAndDestroy();
		}, 20);
	});
};

test('the software versions of a stream and the request that it resumes are logged', async () => {
	const {host} = await start({softwareVersion: 'v1', answer: breakOff});
	await sendRequest(host.port, {path: '/stream/1', headers: {attempt: 'a1'}});
	expect(await waitForEnd(host, 'a1')).toMatch(/ software=v1 /v);
	const {host: other} = await start({softwareVersion: 'v2', answer: finishStream});
	await sendRequest(other.port, {path: '/stream/1', headers: {attempt: 'a2', 'last-event': '2', resumes: 'a1'}});
	expect(await waitForEnd(other, 'a2')).toMatch(/ resumes=a1 after=2 software=v2 /v);
});
