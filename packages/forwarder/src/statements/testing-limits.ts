import {setTimeout as sleep} from 'node:timers/promises';
import type {Milliseconds} from '@gentianlift/types';
import {upstreamMark, type AnswerHandler, type TestDeployment} from '../test-deployment.js';
import {sendRequest, type TestAnswer} from '../testing.js';

/** A stub engine that names a limit on its requests, and when they have arrived. */
export type LimitedEngine = {
	answer: AnswerHandler;
	arrivals: Milliseconds[];
	/** What the engine names in its answers from now on; undefined for nothing. */
	limit: string | undefined;
};

/** Creates an engine. */
export const createLimitedEngine = (limit: string | undefined): LimitedEngine => {
	const engine: LimitedEngine = {
		arrivals: [],
		limit,
		answer(_, response) {
			engine.arrivals.push(performance.now());
			response.writeHead(200, {...upstreamMark, ...(engine.limit !== undefined && {limit: engine.limit})});
			response.end('ok');
		},
	};
	return engine;
};

/** Window in which the users count the requests to an engine. */
const countingWindow: Milliseconds = 4000;

/** Returns the largest number of arrivals in a window that begins at `from` or later. */
export const countMostArrivals = (arrivals: readonly Milliseconds[], from: Milliseconds): number => {
	const counted = arrivals.filter(at => at >= from);
	return Math.max(0, ...counted.map(start => counted.filter(at => at >= start && at < start + countingWindow).length));
};

/** Returns the most requests that the users allow in a window, for a limit a second. */
export const getAllowedArrivals = (limit: number): number => (1.5 * limit * countingWindow / 1000) + 5;

/** Sends requests at intervals for a time, and returns their answers. */
export const sendSteadily = async ({host}: TestDeployment, {interval, duration, path = '/read/1'}: {interval: Milliseconds; duration: Milliseconds; path?: string}): Promise<TestAnswer[]> => {
	const answers: Array<Promise<TestAnswer>> = [];
	for (let sent = 0; sent * interval < duration; sent++) {
		answers.push(sendRequest(host.port, {path, headers: {attempt: `s${sent}`}}));
		// eslint-disable-next-line no-await-in-loop -- Requests are sent at intervals.
		await sleep(interval);
	}

	return Promise.all(answers);
};
