import {createMetrics} from '@gentianlift/metrics';
import {buildRoute} from '@gentianlift/routing/testing';
import {expect, test} from 'vitest';
import {createProgress} from '../call.js';
import {buildTestCall, buildTestPrompt} from '../testing-call.js';
import {isTooLateToStart, recordServiceTime} from './serving-end.js';

const route = buildRoute({name: 'r', timeout: 10_000, latencyTarget: 500});
const call = buildTestCall({route, arrivedAt: 0, prompt: buildTestPrompt('a', 100)});

const createContext = (servingEnd: number) => ({metrics: createMetrics(), getServingEnd: () => servingEnd});

// Guards against: a stopping host sends a queued request to an upstream shortly before it ends, and cuts it.
test('a request that would be cut by the end of its host is not started', () => {
	const context = createContext(7500);
	for (let ended = 0; ended < 100; ended++) {
		recordServiceTime(call, 2000, context);
	}

	expect(isTooLateToStart(call, createProgress(), 5000, context)).toBe(false);
	expect(isTooLateToStart(call, createProgress(), 6000, context)).toBe(true);
});

test('a request of a route that this host has not seen end takes its latency target', () => {
	const context = createContext(7500);
	expect(isTooLateToStart(call, createProgress(), 6900, context)).toBe(false);
	expect(isTooLateToStart(call, createProgress(), 7100, context)).toBe(true);
});

test('a request whose deadline comes before the end of its host is started at any time', () => {
	expect(isTooLateToStart(call, createProgress(), 9999, createContext(10_000))).toBe(false);
});

test('a stream that has begun goes on, as does a request of a host that does not stop', () => {
	expect(isTooLateToStart(call, {...createProgress(), hasBegun: true}, 7499, createContext(7500))).toBe(false);
	expect(isTooLateToStart(call, createProgress(), 9999, createContext(Number.POSITIVE_INFINITY))).toBe(false);
});
