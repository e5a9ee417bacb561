import {createManualClock, createRandom} from '@gentianlift/clock';
import {createLogger} from '@gentianlift/logger';
import type {Milliseconds} from '@gentianlift/types';
import {expect, test} from 'vitest';
import type {RestStatement} from '../protocol.js';
import {createUpstreamRests} from './upstream-rests.js';

const upstream = 'u@1';

const create = (random = createRandom(1)) => {
	const clock = createManualClock(1000);
	const logLines: string[] = [];
	const rests = createUpstreamRests({
		clock,
		random,
		logger: createLogger('info', line => {
			logLines.push(line);
		}),
	});
	const observe = (statement: RestStatement): void => {
		rests.observe({upstream, statement, request: 'r'});
	};

	const ask = (duration: Milliseconds): void => {
		observe({kind: 'rest', duration});
	};

	return {
		clock, rests, logLines, observe, ask,
	};
};

test('a rest lasts as long as was asked, and a little more', async () => {
	const {clock, rests, ask} = create();
	ask(3000);
	await clock.advance(3000);
	expect(rests.isResting(upstream)).toBe(true);
	await clock.advance(300);
	expect(rests.isResting(upstream)).toBe(false);
});

// Guards against: an answer that comes late, with a shorter rest, ends the longer one.
test('nothing shortens a rest, and a later end extends it', async () => {
	const {clock, rests, observe, ask} = create();
	ask(3000);
	await clock.advance(500);
	ask(100);
	observe({kind: 'none'});
	observe({kind: 'malformed', text: 'soon'});
	ask(0);
	await clock.advance(2400);
	expect(rests.isResting(upstream)).toBe(true);
	ask(3000);
	await clock.advance(2900);
	expect(rests.isResting(upstream)).toBe(true);
});

test('a rest of no time and a malformed one are none, and the latter is logged', () => {
	const {rests, logLines, observe, ask} = create();
	ask(0);
	observe({kind: 'malformed', text: 'soon'});
	expect(rests.isResting(upstream)).toBe(false);
	expect(logLines.map(line => /event=\S+/v.exec(line)?.[0])).toEqual(['event=rest-unreadable']);
});

// Guards against: all hosts that were asked to rest until the same second return at once.
test('hosts with the same rest return at different times', () => {
	const random = createRandom(1);
	const ends = Array.from({length: 20}, () => {
		const {rests, ask} = create(random);
		ask(3000);
		return rests.getRemaining(upstream);
	});
	expect(Math.max(...ends) - Math.min(...ends)).toBeGreaterThan(150);
});

test('an incarnation that is gone leaves no rest behind', () => {
	const {rests, ask} = create();
	ask(3000);
	rests.remove(upstream);
	expect(rests.isResting(upstream)).toBe(false);
});
