import {expect, test} from 'vitest';
import {createManualClock, createRandom} from '@gentianlift/clock';
import {createBatch, type BatchOptions, type Generation} from './batch.js';
import {createPrefixCache} from './prefix-cache.js';

const createTestBatch = (change: Partial<BatchOptions> = {}) => {
	const clock = createManualClock();
	const sentTokens: string[] = [];
	const batch = createBatch({
		slots: 1, stepTime: 10, stepTimePerRunning: 0, prefillTokensPerSecond: 1000, cacheTokens: 1000, timeFactor: 1, clock, getSlowFactor: () => 1, ...change,
	});
	let nextSequence = 0;
	const add = (id: string, priority = 0, part: Partial<Generation> = {}): void => {
		batch.add({
			id, priority, sequence: nextSequence++, prefillTokens: 0, cacheTokens: 1, nextIndex: 0, length: 1, prefillEndsAt: 0,
			canSend: () => true,
			onStart: () => undefined,
			onToken(index) {
				sentTokens.push(`${id}${index}@${clock.now()}`);
			},
			onEnd: () => undefined,
			...part,
		});
	};

	return {
		clock, batch, sentTokens, add,
	};
};

test('runs by priority, and equal priorities in order of arrival', async () => {
	const {clock, sentTokens, add} = createTestBatch();
	add('a');
	add('b', 2);
	add('c', 1);
	add('d', 1);
	await clock.advance(100);
	expect(sentTokens.map(token => token[0])).toEqual(['a', 'c', 'd', 'b']);
});

test('a generation that joins a running batch slows its steps', async () => {
	const {clock, sentTokens, add} = createTestBatch({slots: 2, stepTimePerRunning: 5});
	add('a', 0, {length: 3});
	await clock.advance(15);
	add('b');
	await clock.advance(100);
	expect(sentTokens).toEqual(['a0@10', 'a1@25', 'b0@25', 'a2@40']);
});

test('prefill delays the first token', async () => {
	const {clock, sentTokens, add} = createTestBatch();
	add('a', 0, {prefillTokens: 95});
	await clock.advance(200);
	expect(sentTokens).toEqual(['a0@100']);
});

test('queued generations wait while the KV cache is full', async () => {
	const {clock, batch, add} = createTestBatch({slots: 8});
	add('a', 0, {cacheTokens: 600, length: 5});
	add('b', 0, {cacheTokens: 600});
	expect([batch.countRunning(), batch.countWaiting()]).toEqual([1, 1]);
	await clock.advance(200);
	expect([batch.countRunning(), batch.countWaiting()]).toEqual([0, 0]);
});

test('a stall delays every token', async () => {
	const {clock, batch, sentTokens, add} = createTestBatch();
	add('a');
	batch.stall(500);
	await clock.advance(499);
	expect(sentTokens).toEqual([]);
	await clock.advance(1);
	expect(sentTokens).toEqual(['a0@500']);
});

test('cache events are delayed, and the least recently used chunk is evicted first', () => {
	const clock = createManualClock();
	const cache = createPrefixCache({
		maxChunks: 2, eventDelay: 100, eventLossProbability: 0, clock, random: createRandom(1),
	});
	cache.store(['x', 'y', 'z']);
	expect([cache.countCached(['x']), cache.countCached(['y', 'z', 'w']), cache.readEvents(0).events]).toEqual([0, 2, []]);
	clock.pause(100);
	expect(cache.readEvents(2).events).toEqual([{sequence: 3, kind: 'stored', chunk: 'z'}, {sequence: 4, kind: 'evicted', chunk: 'x'}]);
});
