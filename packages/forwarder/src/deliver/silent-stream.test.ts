import {setTimeout as sleep} from 'node:timers/promises';
import type {Milliseconds} from '@gentianlift/types';
import {expect, onTestFinished, test} from 'vitest';
import {
	createHostStarter, sum, upstreamMark, type AnswerHandler,
} from '../test-deployment.js';
import {sendRequest} from '../testing.js';

const start = createHostStarter(onTestFinished);

/** Writes two events, the second one after a pause of the first upstream that is asked; all later requests get their events at once. */
const createPausingAnswer = (pause: Milliseconds): AnswerHandler => {
	let requests = 0;
	return (request, response) => {
		requests += 1;
		const isFirst = requests === 1;
		const lastEvent = Number(request.headers['last-event'] ?? 0);
		response.writeHead(200, {...upstreamMark, 'content-type': 'text/event-stream'});
		const write = async (): Promise<void> => {
			for (let id = lastEvent + 1; id <= 2; id++) {
				if (isFirst && id === 2) {
					// eslint-disable-next-line no-await-in-loop -- The pause comes between two events.
					await sleep(pause);
				}

				response.write(`id: ${id}\ndata: ${id}\n\n`);
			}

			response.end();
		};

		void write();
	};
};

/** Sends a resumable stream to two upstreams, of which the first one pauses; returns how many requests they received. */
const countRequests = async (pause: Milliseconds): Promise<number> => {
	const answer = createPausingAnswer(pause);
	const {host, counts} = await start(answer, answer);
	expect(await sendRequest(host.port, {path: '/stream/1', headers: {attempt: 'a1'}})).toMatchObject({
		status: 200, body: 'id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n', isComplete: true,
	});
	return sum(counts);
};

// Guards against: a stream hangs until its caller leaves, as its upstream sends nothing and keeps the connection open.
test('a resumable stream whose upstream falls silent goes on at another one', async () => {
	expect(await countRequests(4000)).toBe(2);
});

// Guards against: an upstream that is silent for a moment loses its streams.
test('a stream stays at an upstream that is silent for less than a second', async () => {
	expect(await countRequests(800)).toBe(1);
});
