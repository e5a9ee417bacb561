import {expect, test} from 'vitest';
import {createManualClock, createRandom} from '@gentianlift/clock';
import {createBatch, type BatchOptions, type Generation} from './batch.js';
import {createPrefixCache} from './cache.js';

const createTrial = (change: Partial<BatchOptions> = {}) => {
	const clock = createManualClock();
	const seen: string[] = [];
	const batch = createBatch({
		slots: 1, stepTime: 10, stepTimePerRunning: 0, prefillTokensPerSecond: 1000, cacheTokens: 1000, timeFactor: 1, clock, getSlowFactor: () => 1, ...change,
	});
	let order = 0;
	const add = (id: string, priority = 0, part: Partial<Generation> = {}): void => {
		batch.add({
			id, priority, order: order++, prefillTokens: 0, cacheTokens: 1, index: 0, length: 1, readyAt: 0,
			canSend: () => true,
			onStart: () => undefined,
			onToken(index) {
				seen.push(`${id}${index}@${clock.now()}`);
			},
			onEnd: () => undefined,
			...part,
		});
	};

	return {
		clock, batch, seen, add,
	};
};

test('runs the most urgent first, and equals in order of arrival', async () => {
	const {clock, seen, add} = createTrial();
	add('a');
	add('b', 2);
	add('c', 1);
	add('d', 1);
	await clock.advance(100);
	expect(seen.map(token => token[0])).toEqual(['a', 'c', 'd', 'b']);
});

test('a generation joins a running batch and slows its steps', async () => {
	const {clock, seen, add} = createTrial({slots: 2, stepTimePerRunning: 5});
	add('a', 0, {length: 3});
	await clock.advance(15);
	add('b');
	await clock.advance(100);
	expect(seen).toEqual(['a0@10', 'a1@25', 'b0@25', 'a2@40']);
});

test('prefill delays the first token', async () => {
	const {clock, seen, add} = createTrial();
	add('a', 0, {prefillTokens: 95});
	await clock.advance(200);
	expect(seen).toEqual(['a0@100']);
});

test('a full KV cache holds back what waits', async () => {
	const {clock, batch, add} = createTrial({slots: 8});
	add('a', 0, {cacheTokens: 600, length: 5});
	add('b', 0, {cacheTokens: 600});
	expect([batch.getRunning(), batch.getWaiting()]).toEqual([1, 1]);
	await clock.advance(200);
	expect([batch.getRunning(), batch.getWaiting()]).toEqual([0, 0]);
});

test('a stall holds every token back', async () => {
	const {clock, batch, seen, add} = createTrial();
	add('a');
	batch.stall(500);
	await clock.advance(499);
	expect(seen).toEqual([]);
	await clock.advance(1);
	expect(seen).toEqual(['a0@500']);
});

test('cache events come late and with gaps, and the oldest chunk goes first', () => {
	const clock = createManualClock();
	const cache = createPrefixCache({
		chunks: 2, eventLag: 100, eventLoss: 0, clock, random: createRandom(1),
	});
	cache.store(['x', 'y', 'z']);
	expect([cache.countCached(['x']), cache.countCached(['y', 'z', 'w']), cache.readEvents(0).events]).toEqual([0, 2, []]);
	clock.pause(100);
	expect(cache.readEvents(2).events).toEqual([{sequence: 3, kind: 'stored', chunk: 'z'}, {sequence: 4, kind: 'evicted', chunk: 'x'}]);
});
