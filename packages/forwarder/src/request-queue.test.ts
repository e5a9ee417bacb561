import {createManualClock, createRandom, type ManualClock} from '@gentianlift/clock';
import {
	createFleetView, createLoadBook, type LoadBook, type NoteExchange,
} from '@gentianlift/discovery';
import {createSilentLogger} from '@gentianlift/logger';
import {createMetrics} from '@gentianlift/metrics';
import type {Route, Upstream} from '@gentianlift/routing';
import {buildConfiguration, buildRoute, buildUpstream} from '@gentianlift/routing/testing';
import type {Milliseconds} from '@gentianlift/types';
import {expect, test} from 'vitest';
import {
	createCall, createProgress, type Call, type Progress,
} from './call.js';
import type {ForwarderContext} from './context.js';
import {createUpstreamTracker, type UpstreamTracker} from './upstream-tracker.js';
import {createRequestQueue, type Assignment, type RequestQueue} from './request-queue.js';

const question = buildRoute({name: 'question', rank: 0, target: 300});
const review = buildRoute({
	name: 'review', rank: 2, target: 1500, timeout: 10_000,
});
const configuration = buildConfiguration({
	routes: [question, review],
	services: [{name: 's', mostConnections: 100, engine: {slots: 64, cacheTokens: 500_000, tokensForEvent: 3}}],
});

type Bench = {
	clock: ManualClock;
	loads: LoadBook;
	board: UpstreamTracker;
	line: RequestQueue;
	/** Looks at all upstreams for one call, which take `lookTime` each. */
	looks: {count: number; time: Milliseconds};
};

const createBench = (upstreams: readonly Upstream[]): Bench => {
	const clock = createManualClock(1000);
	const loads = createLoadBook();
	const logger = createSilentLogger();
	const board = createUpstreamTracker({clock, logger, loads});
	const view = createFleetView({
		logger,
		decode({key}) {
			const upstream = upstreams.find(({id}) => id === key);
			return upstream === undefined ? {kind: 'configuration', configuration} : {kind: 'upstream', upstream};
		},
	});
	view.applySnapshot({entries: ['c', ...upstreams.map(({id}) => id)].map(key => ({key, value: '', revision: 1})), revision: 1}, 0);
	const notes: Pick<NoteExchange, 'addLoad'> = {
		addLoad(upstream, change) {
			loads.addOwn(upstream, change, clock.monotonic());
		},
	};
	const looks = {count: 0, time: 0};
	const countedBoard: UpstreamTracker = {
		...board,
		getCandidates(...parameters) {
			looks.count += 1;
			clock.pause(looks.time);
			return board.getCandidates(...parameters);
		},
	};
	const context: Pick<ForwarderContext, 'clock' | 'view' | 'tracker' | 'metrics' | 'reports' | 'random' | 'zone'> = {
		clock, view, tracker: countedBoard, metrics: createMetrics(), reports: notes as NoteExchange, random: createRandom(1), zone: 'a',
	};
	return {
		clock, loads, board, looks, line: createRequestQueue(context as ForwarderContext),
	};
};

const buildCall = (clock: ManualClock, route: Route, name: string, tokens: number): Call => createCall({
	method: 'POST',
	target: '/a/',
	head: {
		attempt: name, hostname: 'a.example', key: undefined, patience: undefined, lastEvent: undefined, declaresBody: true, forwarded: [],
		prompt: {
			model: 'm', parts: [{id: name, tokens}], inputTokens: tokens, outputTokens: 10,
		},
	},
	body: new Uint8Array(),
	route,
	service: 's',
	customer: undefined,
	// The line never writes to the caller.
	response: undefined as unknown as Call['response'],
	version: 1,
	arrivedAt: clock.monotonic(),
});

/** Enters a call and notes its name once it is placed. */
const enter = ({clock, line}: Bench, {route, name, tokens}: {route: Route; name: string; tokens: number}, placed: string[]): {progress: Progress; place: Promise<Assignment | undefined>} => {
	const progress = createProgress();
	const waiting = async (): Promise<Assignment | undefined> => {
		const place = await line.enqueue(buildCall(clock, route, name, tokens), progress);
		placed.push(place === undefined ? `no ${name}` : name);
		return place;
	};

	return {progress, place: waiting()};
};

const manyReviews = Array.from({length: 6}, (_, index) => ({route: review, name: `review-${index}`, tokens: 16_000}));

test('a burst of reviews leaves room for quick questions', async () => {
	const bench = createBench([buildUpstream({id: 'u1'}), buildUpstream({id: 'u2'})]);
	const placed: string[] = [];
	for (const item of manyReviews) {
		enter(bench, item, placed);
	}

	await bench.clock.advance(0);
	expect(placed).toEqual(['review-0', 'review-1']);
	enter(bench, {route: question, name: 'question', tokens: 1000}, placed);
	await bench.clock.advance(0);
	expect(placed).toEqual(['review-0', 'review-1', 'question']);
});

test('a long line in a large fleet leaves the processor to other work', async () => {
	const bench = createBench([buildUpstream({id: 'u1'}), buildUpstream({id: 'u2'})]);
	const placed: string[] = [];
	for (let index = 0; index < 30; index++) {
		enter(bench, {route: review, name: `review-${index}`, tokens: 16_000}, placed);
	}

	await bench.clock.advance(0);
	bench.looks.count = 0;
	bench.looks.time = 0.2;
	const from = bench.clock.monotonic();
	// Each note of another host tells a new load.
	for (let note = 0; note < 800; note++) {
		bench.line.requestDispatch();
		// eslint-disable-next-line no-await-in-loop -- One note after another.
		await bench.clock.advance(1);
	}

	const busy = bench.looks.count * bench.looks.time;
	expect(bench.looks.count).toBeGreaterThan(30);
	expect(busy / (bench.clock.monotonic() - from)).toBeLessThan(0.25);
});

test('the next review goes when an engine has read the one before', async () => {
	const bench = createBench([buildUpstream()]);
	const placed: string[] = [];
	const first = enter(bench, manyReviews[0]!, placed);
	enter(bench, manyReviews[1]!, placed);
	await bench.clock.advance(50);
	expect(placed).toEqual(['review-0']);
	const place = await first.place;
	place?.load.finishPrefill();
	await bench.clock.advance(20);
	expect(placed).toEqual(['review-0', 'review-1']);
});

test('a call whose caller has gone, or whose time is over, leaves the line', async () => {
	const bench = createBench([buildUpstream()]);
	const placed: string[] = [];
	enter(bench, manyReviews[0]!, placed);
	const second = enter(bench, manyReviews[1]!, placed);
	await bench.clock.advance(5);
	second.progress.isCallerGone = true;
	second.progress.cancel?.();
	await bench.clock.advance(0);
	expect(placed).toEqual(['review-0', 'no review-1']);
	expect(bench.line.getLength()).toBe(0);
});

test('without an upstream a call does not wait', async () => {
	const bench = createBench([]);
	const placed: string[] = [];
	enter(bench, manyReviews[0]!, placed);
	await bench.clock.advance(0);
	expect(placed).toEqual(['no review-0']);
});

test('other hosts are told what waits, and that it waits no more', async () => {
	const bench = createBench([buildUpstream()]);
	const placed: string[] = [];
	const first = enter(bench, manyReviews[0]!, placed);
	enter(bench, manyReviews[1]!, placed);
	await bench.clock.advance(20);
	expect(bench.loads.getTotal('u1@1').awaitedTokens).toBe(16_000);
	const place = await first.place;
	place?.load.end();
	await bench.clock.advance(20);
	expect(bench.loads.getTotal('u1@1').awaitedTokens).toBe(0);
});

test('other hosts are told that a call waits no more when its caller has gone', async () => {
	const bench = createBench([buildUpstream()]);
	const placed: string[] = [];
	enter(bench, manyReviews[0]!, placed);
	const second = enter(bench, manyReviews[1]!, placed);
	await bench.clock.advance(20);
	expect(bench.loads.getTotal('u1@1').awaitedTokens).toBe(16_000);
	second.progress.isCallerGone = true;
	second.progress.cancel?.();
	await bench.clock.advance(20);
	expect(bench.loads.getTotal('u1@1').awaitedTokens).toBe(0);
});

const service = configuration.services[0]!;
const upstreams = [buildUpstream({id: 'u1'}), buildUpstream({id: 'u2'})];
const getCandidateIds = (board: UpstreamTracker): string[] => board.getCandidates(upstreams, service, undefined).map(({upstream}) => upstream.id);

test('an upstream that can not be reached gets nothing for a while, unless all are so', async () => {
	const {clock, board} = createBench(upstreams);
	board.recordUnreachable(upstreams[0]!, 'test');
	expect(getCandidateIds(board)).toEqual(['u2']);
	board.recordUnreachable(upstreams[1]!, 'test');
	expect(getCandidateIds(board)).toEqual(['u1', 'u2']);
	await clock.advance(500);
	board.recordUnreachable(upstreams[0]!, 'test');
	await clock.advance(500);
	expect(getCandidateIds(board)).toEqual(['u2']);
});

test('an upstream that went silent while requests wait there gets nothing new', async () => {
	const {clock, board} = createBench(upstreams);
	const exchange = board.startExchange(upstreams[0]!);
	await clock.advance(800);
	expect(getCandidateIds(board)).toEqual(['u2']);
	exchange.recordBytes();
	expect(getCandidateIds(board)).toEqual(['u1', 'u2']);
	await clock.advance(800);
	exchange.end();
	expect(getCandidateIds(board)).toEqual(['u1', 'u2']);
});
