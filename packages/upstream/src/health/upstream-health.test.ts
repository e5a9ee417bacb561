import {createManualClock, createRandom, type ManualClock} from '@gentianlift/clock';
import {createMetrics} from '@gentianlift/metrics';
import type {UpstreamSighting} from '@gentianlift/types';
import {expect, test} from 'vitest';
import {createUpstreamHealth, type UpstreamHealth} from '../index.js';

type Kind = UpstreamSighting['kind'];
type Setup = {clock: ManualClock; health: UpstreamHealth; see: (upstream: string, kinds: Kind[], host?: string) => void};

const create = (engines: string[]): Setup => {
	const clock = createManualClock();
	const health = createUpstreamHealth({
		clock, random: createRandom(1), metrics: createMetrics(), self: 'h0', getPeers: () => engines,
	});
	const see = (upstream: string, kinds: Kind[], host?: string): void => {
		for (const kind of kinds) {
			health.record({upstream, at: clock.now(), kind}, host);
		}
	};

	return {clock, health, see};
};

test('one failure ejects nothing, a second refused connection does', () => {
	const {health, see} = create(['e1', 'e2']);
	see('e1', ['unreachable']);
	expect(health.getStanding('e1')).toBe('available');
	see('e1', ['unreachable']);
	expect(health.getStanding('e1')).toBe('ejected');
});

test('a crash ejects at once', () => {
	const {health, see} = create(['e1', 'e2']);
	see('e1', ['success', 'crashed']);
	expect(health.getStanding('e1')).toBe('ejected');
});

test('a refusal is no failure', () => {
	const {health, see} = create(['e1', 'e2']);
	see('e1', ['refused', 'refused', 'refused', 'refused']);
	expect(health.getStanding('e1')).toBe('available');
});

test('failing upstreams are ejected up to half of them', () => {
	const engines = ['e1', 'e2', 'e3', 'e4'];
	const {health, see} = create(engines);
	for (const engine of engines) {
		see(engine, ['error', 'error', 'error']);
	}

	expect(engines.filter(engine => health.getStanding(engine) === 'ejected')).toEqual(['e1', 'e2']);
});

test('one other host condemns nothing, two do', () => {
	const {health, see} = create(['e1', 'e2']);
	see('e1', ['unreachable', 'unreachable', 'unreachable'], 'h1');
	expect(health.getStanding('e1')).toBe('available');
	see('e1', ['unreachable'], 'h2');
	expect(health.getStanding('e1')).toBe('ejected');
});

test('what works here stays, whatever others say', () => {
	const {health, see} = create(['e1', 'e2']);
	see('e1', ['success']);
	see('e1', ['reset'], 'h1');
	see('e1', ['reset'], 'h2');
	expect(health.getStanding('e1')).toBe('available');
});

test('what works for another host is not condemned by this one alone', () => {
	const {health, see} = create(['e1', 'e2']);
	see('e1', ['success'], 'h1');
	see('e1', ['unreachable', 'unreachable', 'unreachable']);
	expect(health.getStanding('e1')).toBe('available');
});

test('an ejected upstream returns by degrees', async () => {
	const {clock, health, see} = create(['e1', 'e2']);
	see('e1', ['crashed']);
	expect(health.getShare('e1')).toBe(0);
	await clock.advance(1500);
	expect(health.getStanding('e1')).toBe('probing');
	expect(health.getProbing()).toEqual(['e1']);
	see('e1', ['success', 'success']);
	expect(health.getStanding('e1')).toBe('available');
	expect(health.getShare('e1')).toBeLessThan(0.2);
	await clock.advance(10_000);
	expect(health.getShare('e1')).toBe(1);
});

test('flapping waits longer each time', async () => {
	const {clock, health, see} = create(['e1', 'e2']);
	const waits: number[] = [];
	for (let round = 0; round < 4; round++) {
		see('e1', ['crashed']);
		const start = clock.now();
		while (health.getStanding('e1') === 'ejected') {
			// eslint-disable-next-line no-await-in-loop -- Time passes step by step.
			await clock.advance(100);
		}

		waits.push(clock.now() - start);
		see('e1', ['success', 'success']);
	}

	expect(waits).toEqual(waits.toSorted((first, second) => first - second));
	expect(waits.at(-1)).toBeGreaterThan(5000);
});

test('leaving stands until all who said so take it back', async () => {
	const {clock, health, see} = create(['e1', 'e2']);
	see('e1', ['leaving'], 'h1');
	health.setLeaving('e1', 'operator', true);
	see('e1', ['success', 'success']);
	expect(health.getStanding('e1')).toBe('leaving');
	health.setLeaving('e1', 'upstream', false);
	expect(health.getStanding('e1')).toBe('leaving');
	health.setLeaving('e1', 'operator', false);
	expect(health.getStanding('e1')).toBe('available');
	await clock.advance(1);
	expect(health.getShare('e1')).toBe(1);
});

test('an upstream that left and came back is a new process', () => {
	const {health, see} = create(['e1', 'e2']);
	see('e1', ['leaving', 'unreachable']);
	expect(health.getStanding('e1')).toBe('available');
});
