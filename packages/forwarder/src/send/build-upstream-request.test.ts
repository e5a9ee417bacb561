import {createManualClock, createRandom} from '@gentianlift/clock';
import {createSilentLogger} from '@gentianlift/logger';
import {createCrashSuspects} from '@gentianlift/routing';
import {buildConfiguration, buildRoute, buildUpstream} from '@gentianlift/routing/testing';
import {expect, test} from 'vitest';
import {createProgress} from '../call.js';
import type {ForwarderContext} from '../context.js';
import {buildTestCall, buildTestPrompt} from '../testing-call.js';
import {createTestView} from '../resume/testing-view.js';
import {createUpstreamRests} from '../statements/upstream-rests.js';
import {buildUpstreamRequest} from './build-upstream-request.js';

const route = buildRoute({kind: 'streaming', isResumable: true, timeout: 1000});
const upstream = buildUpstream({id: 'u1', softwareVersion: 'v1'});

/** Returns the longest wait for a connection to the upstream, beside another one of a version. */
const getConnectionWait = (streamVersion: string | undefined, otherVersion: string): number => {
	const view = createTestView(createSilentLogger(), buildConfiguration(), [upstream, buildUpstream({id: 'u2', softwareVersion: otherVersion})]);
	const context: Partial<ForwarderContext> = {clock: createManualClock(0), view};
	const call = buildTestCall({route, arrivedAt: 0, prompt: buildTestPrompt('p', 10)});
	const progress = {...createProgress(), streamVersion, tried: new Set(['u1@1'])};
	return buildUpstreamRequest(call, progress, {upstream, permit: {take: () => true, release: () => undefined}}, context as ForwarderContext).connectionWait;
};

test('a request waits for a connection until its deadline unless another upstream can run it', () => {
	expect(getConnectionWait(undefined, 'v2')).toBe(400);
	expect(getConnectionWait('v1', 'v1')).toBe(400);
	expect(getConnectionWait('v1', 'v2')).toBe(1000);
});

/** Returns the longest wait for the head of the answer to an idempotent call that has some time left, after a number of possible executions. */
const getHeadTimeout = (remaining: number, possibleExecutions: number): number | undefined => {
	const view = createTestView(createSilentLogger(), buildConfiguration(), [upstream]);
	const clock = createManualClock(0);
	const context: Partial<ForwarderContext> = {
		clock, view, suspects: createCrashSuspects(), protocol: {buildUpstreamHeaders: () => []} as unknown as ForwarderContext['protocol'],
		rests: createUpstreamRests({clock, random: createRandom(1), logger: createSilentLogger()}), getServingEnd: () => Number.POSITIVE_INFINITY,
	};
	const call = buildTestCall({route: buildRoute({kind: 'idempotent', maxUpstreams: 2, timeout: remaining}), arrivedAt: 0, prompt: buildTestPrompt('p', 10)});
	const request = buildUpstreamRequest(call, {...createProgress(), possibleExecutions}, {upstream, permit: {take: () => true, release: () => undefined}}, context as ForwarderContext);
	const head = request.buildHead();
	return typeof head === 'string' ? Number.NaN : head.headTimeout;
};

// Guards against: a caller is told that a connection was lost because the wait for the answer ended an instant before the call's deadline.
test('the wait for an answer ends before the deadline only if time for another attempt is left', () => {
	expect(getHeadTimeout(1000, 0)).toBe(400);
	expect(getHeadTimeout(301, 0)).toBe(300);
	expect(getHeadTimeout(300, 0)).toBeUndefined();
	expect(getHeadTimeout(1000, 1)).toBeUndefined();
});

const rankedRoutes = [0, 1, 2].map(rank => buildRoute({name: `r${rank}`, rank}));
const rankedCustomers = [0, 1, undefined].map(rank => ({name: `c${rank ?? ''}`, keys: [], ...(rank !== undefined && {rank})}));

/** Returns the ranks that an upstream is told, of the calls of each customer on each route. */
const getToldRanks = (): number[][] => {
	const ranks: number[] = [];
	const protocol: Partial<ForwarderContext['protocol']> = {
		buildUpstreamHeaders({rank}) {
			ranks.push(rank);
			return [];
		},
	};
	const view = createTestView(createSilentLogger(), buildConfiguration({routes: rankedRoutes, customers: rankedCustomers}), [upstream]);
	const context = {
		clock: createManualClock(0), view, protocol, suspects: createCrashSuspects(), rests: {isResting: () => false}, getServingEnd: () => Number.POSITIVE_INFINITY,
	} as unknown as ForwarderContext;
	return rankedCustomers.map(customer => rankedRoutes.map(ranked => {
		const call = buildTestCall({
			route: ranked, arrivedAt: 0, prompt: buildTestPrompt('p', 10), customer,
		});
		buildUpstreamRequest(call, createProgress(), {upstream, permit: {take: () => true, release: () => undefined}}, context).buildHead();
		return ranks.at(-1)!;
	}));
};

// Guards against: an engine that is short of memory preempts the newest of a customer's calls, whatever its route, as it knows the customer's rank alone.
test('an upstream is told the order in which hosts go, by customer and then by route', () => {
	const [first, second, unranked] = getToldRanks();
	const inOrder = [...first!, second![0]!, second![1]!, second![2]!];
	expect(inOrder).toEqual(inOrder.toSorted((one, other) => one - other));
	expect(new Set(inOrder).size).toBe(inOrder.length);
	expect(unranked).toEqual([first![0], second![0], second![2]! + 1]);
});

// Guards against: engines get a rank that stands between two of theirs.
test('an upstream is told whole numbers that the wire has', () => {
	const ranks = getToldRanks().flat();
	expect(ranks.every(rank => Number.isInteger(rank) && rank >= 0 && rank <= 9), ranks.join(' ')).toBe(true);
});

/** Returns whether the incarnation of an upstream is confirmed for a stream that resumes, by the answers to both questions and by whether the host's view is current between them and gets so. */
const isConfirmed = async (confirmations: boolean[], isCurrent: boolean, isCurrentAgain: boolean): Promise<boolean | undefined> => {
	const view = createTestView(createSilentLogger(), buildConfiguration(), [upstream]);
	const freshness = {isCurrent: () => isCurrent, confirm: async () => confirmations.shift() ?? false, ensureCurrent: async () => isCurrentAgain};
	const context = {clock: createManualClock(0), view, freshness} as unknown as ForwarderContext;
	const call = buildTestCall({route, arrivedAt: 0, prompt: buildTestPrompt('p', 10)});
	const progress = {...createProgress(), streamVersion: 'v1'};
	return buildUpstreamRequest(call, progress, {upstream, permit: {take: () => true, release: () => undefined}}, context).confirm?.();
};

// Guards against: a stream is cut though upstreams can continue it, as its host was suspended for a moment while it connected to each of them.
test('an incarnation is confirmed once the view is current again', async () => {
	expect(await isConfirmed([true], false, false)).toBe(true);
	expect(await isConfirmed([false, true], false, true)).toBe(true);
	expect(await isConfirmed([false, false], false, true)).toBe(false);
	expect(await isConfirmed([false, true], false, false)).toBe(false);
	expect(await isConfirmed([false, true], true, true)).toBe(false);
});
