import {setTimeout as sleep} from 'node:timers/promises';
import type {Milliseconds} from '@gentianlift/types';
import {expect, onTestFinished, test} from 'vitest';
import {
	answerOk, createHostStarter, upstreamMark, type AnswerHandler,
} from './test-deployment.js';
import {createRestingEngine} from './testing-rest.js';
import {sendSteadily} from './testing-limits.js';

const start = createHostStarter(onTestFinished);

/** Time after the answer that asks for rest from which requests count, and how many may still come until the rest ends. */
const restSlack: Milliseconds = 500;
const allowedArrivals = 2;

// Guards against: an engine that turns a request away and asks for rest gets as many as before.
test.fails('an upstream that wants rest gets no requests until the rest ends', async () => {
	const engines = [createRestingEngine('2'), createRestingEngine('2')];
	const deployment = await start(...engines.map(({answer}) => answer));
	const answers = await sendSteadily(deployment, {interval: 20, duration: 2000});
	expect(answers.every(({status}) => status === 503)).toBe(true);
	for (const {arrivals} of engines) {
		const [askedAt = 0] = arrivals;
		expect(arrivals.filter(at => at > askedAt + restSlack && at < askedAt + 2000).length).toBeLessThanOrEqual(allowedArrivals);
	}
});

// Guards against: an engine that says that it leaves gets requests until the store says so, too.
test.fails('an upstream that says that it leaves gets no more requests', async () => {
	const leaving: AnswerHandler = (request, response) => {
		response.writeHead(200, {...upstreamMark, leaving: '1', attempt: request.headers.attempt ?? ''});
		response.end('ok');
	};

	const deployment = await start(leaving, answerOk);
	await sendSteadily(deployment, {interval: 20, duration: 500});
	const received = deployment.counts[0]!;
	expect(received).toBeGreaterThan(0);
	await sleep(500);
	await sendSteadily(deployment, {interval: 20, duration: 500});
	expect(deployment.counts[0]).toBe(received);
});
