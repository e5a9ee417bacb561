import {createManualClock, createRandom, type ManualClock} from '@gentianlift/clock';
import {createMetrics} from '@gentianlift/metrics';
import type {UpstreamObservation} from '@gentianlift/types';
import {expect, test} from 'vitest';
import {createUpstreamHealth, type UpstreamHealth} from '../index.js';

type Kind = UpstreamObservation['kind'];
type Setup = {clock: ManualClock; health: UpstreamHealth; recordAll: (upstream: string, kinds: Kind[], host?: string) => void};

const createSetup = (engines: string[]): Setup => {
	const clock = createManualClock();
	const health = createUpstreamHealth({
		clock, random: createRandom(1), metrics: createMetrics(), self: 'h0', getEquivalentUpstreams: () => engines,
	});
	const recordAll = (upstream: string, kinds: Kind[], host?: string): void => {
		for (const kind of kinds) {
			health.record({upstream, at: clock.now(), kind}, host);
		}
	};

	return {clock, health, recordAll};
};

test('a second unreachable observation in a row ejects an upstream, a single one does not', () => {
	const {health, recordAll} = createSetup(['e1', 'e2']);
	recordAll('e1', ['unreachable']);
	expect(health.getAvailability('e1')).toBe('available');
	recordAll('e1', ['unreachable']);
	expect(health.getAvailability('e1')).toBe('ejected');
});

test('a single crash ejects an upstream', () => {
	const {health, recordAll} = createSetup(['e1', 'e2']);
	recordAll('e1', ['success', 'crashed']);
	expect(health.getAvailability('e1')).toBe('ejected');
});

test('refused requests do not count as failures', () => {
	const {health, recordAll} = createSetup(['e1', 'e2']);
	recordAll('e1', ['refused', 'refused', 'refused', 'refused']);
	expect(health.getAvailability('e1')).toBe('available');
});

test('at most half of the upstreams for the same work are ejected for failing', () => {
	const engines = ['e1', 'e2', 'e3', 'e4'];
	const {health, recordAll} = createSetup(engines);
	for (const engine of engines) {
		recordAll(engine, ['error', 'error', 'error']);
	}

	expect(engines.filter(engine => health.getAvailability(engine) === 'ejected')).toEqual(['e1', 'e2']);
});

test('failures at other hosts eject an upstream only when two hosts agree', () => {
	const {health, recordAll} = createSetup(['e1', 'e2']);
	recordAll('e1', ['unreachable', 'unreachable', 'unreachable'], 'h1');
	expect(health.getAvailability('e1')).toBe('available');
	recordAll('e1', ['unreachable'], 'h2');
	expect(health.getAvailability('e1')).toBe('ejected');
});

test('an upstream that works at this host is not ejected for failures at other hosts', () => {
	const {health, recordAll} = createSetup(['e1', 'e2']);
	recordAll('e1', ['success']);
	recordAll('e1', ['reset'], 'h1');
	recordAll('e1', ['reset'], 'h2');
	expect(health.getAvailability('e1')).toBe('available');
});

test('an upstream that works at another host is not ejected for failures at this host only', () => {
	const {health, recordAll} = createSetup(['e1', 'e2']);
	recordAll('e1', ['success'], 'h1');
	recordAll('e1', ['unreachable', 'unreachable', 'unreachable']);
	expect(health.getAvailability('e1')).toBe('available');
});

test('an ejected upstream returns through probing and a gradual ramp-up of traffic', async () => {
	const {clock, health, recordAll} = createSetup(['e1', 'e2']);
	recordAll('e1', ['crashed']);
	expect(health.getTrafficFraction('e1')).toBe(0);
	await clock.advance(1500);
	expect(health.getAvailability('e1')).toBe('probing');
	expect(health.getProbingUpstreams()).toEqual(['e1']);
	recordAll('e1', ['success', 'success']);
	expect(health.getAvailability('e1')).toBe('available');
	expect(health.getTrafficFraction('e1')).toBeLessThan(0.2);
	await clock.advance(10_000);
	expect(health.getTrafficFraction('e1')).toBe(1);
});

test('the backoff grows with each ejection of a flapping upstream', async () => {
	const {clock, health, recordAll} = createSetup(['e1', 'e2']);
	const backoffs: number[] = [];
	for (let round = 0; round < 4; round++) {
		recordAll('e1', ['crashed']);
		const start = clock.now();
		while (health.getAvailability('e1') === 'ejected') {
			// eslint-disable-next-line no-await-in-loop -- The clock has to advance step by step.
			await clock.advance(100);
		}

		backoffs.push(clock.now() - start);
		recordAll('e1', ['success', 'success']);
	}

	expect(backoffs).toEqual(backoffs.toSorted((first, second) => first - second));
	expect(backoffs.at(-1)).toBeGreaterThan(5000);
});

test('an upstream is leaving until each source has withdrawn its report', async () => {
	const {clock, health, recordAll} = createSetup(['e1', 'e2']);
	recordAll('e1', ['leaving'], 'h1');
	health.setLeaving('e1', 'operator', true);
	recordAll('e1', ['success', 'success']);
	expect(health.getAvailability('e1')).toBe('leaving');
	health.setLeaving('e1', 'upstream', false);
	expect(health.getAvailability('e1')).toBe('leaving');
	health.setLeaving('e1', 'operator', false);
	expect(health.getAvailability('e1')).toBe('available');
	await clock.advance(1);
	expect(health.getTrafficFraction('e1')).toBe(1);
});

test('an upstream that is unreachable after leaving is no longer leaving, as it returns as a new process', () => {
	const {health, recordAll} = createSetup(['e1', 'e2']);
	recordAll('e1', ['leaving', 'unreachable']);
	expect(health.getAvailability('e1')).toBe('available');
});
