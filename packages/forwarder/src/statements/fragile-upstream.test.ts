import type {Milliseconds} from '@gentianlift/types';
import {expect, onTestFinished, test} from 'vitest';
import {configuration, upstreamMark, type AnswerHandler} from '../test-deployment.js';
import {sendToHosts, startLinkedFleet} from '../links/testing-partition.js';

/** Rejections a second that the engines bear, and time from when they say so on in which they may let fewer requests wait. */
const tolerance = 3;
const stableTime: Milliseconds = 3000;
/** Requests that an engine runs at a time and lets wait, and how long each takes. */
const slots = 8;
const waitingPlaces = 2;
const serviceTime: Milliseconds = 60;
const secondLength: Milliseconds = 1000;

/** A stub engine that falls over once it has to reject too many requests in a second. */
const createFragileEngine = () => {
	const engine = {
		running: 0, falls: 0, saidAt: Number.POSITIVE_INFINITY, rejectedAt: [] as Milliseconds[],
	};
	const reject = (now: Milliseconds): void => {
		engine.rejectedAt = [...engine.rejectedAt.filter(at => at > now - secondLength), now];
		if (engine.rejectedAt.length > tolerance && now > engine.saidAt + stableTime) {
			engine.falls += 1;
			engine.rejectedAt = [];
		}
	};

	const answer: AnswerHandler = (request, response) => {
		const now = performance.now();
		engine.saidAt = Math.min(engine.saidAt, now);
		const headers = {fragile: String(tolerance), attempt: request.headers.attempt ?? ''};
		const places = now > engine.saidAt + stableTime ? slots + waitingPlaces : 2 * slots;
		if (engine.running >= places) {
			reject(now);
			response.writeHead(503, {...headers, 'not-run': '1'});
			response.end();
			return;
		}

		engine.running += 1;
		setTimeout(() => {
			engine.running -= 1;
			response.writeHead(200, {...headers, ...upstreamMark});
			response.end('ok');
		}, serviceTime * Math.max(1, engine.running / slots));
	};

	return {engine, answer};
};

// Guards against: hosts together are turned away so often by an engine which says that it bears little of it that it falls over.
test('engines that bear few rejections are not sent many more requests than they can take', async () => {
	const engines = [createFragileEngine(), createFragileEngine()];
	const fleet = await startLinkedFleet({
		hosts: 7, upstreams: engines.map(({answer}) => answer), configuration, onFinished: onTestFinished,
	});
	const answers = await sendToHosts(fleet, {
		interval: 3, duration: 7000, paths: ['/read/1', '/book/1'], name: 'a',
	});
	const allowedFalls = 2 + (engines.length / 10);
	expect(engines.reduce((total, {engine: {falls}}) => total + falls, 0)).toBeLessThanOrEqual(allowedFalls);
	const served = answers.flat().filter(({status}) => status === 200).length;
	const capacity = engines.length * slots / serviceTime * 7000;
	expect(served).toBeGreaterThan(capacity / 2);
});
