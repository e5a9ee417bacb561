import {expect, test} from 'vitest';
import {createManualClock, createRandom} from '@gentianlift/clock';
import {createMetrics} from '@gentianlift/metrics';
import {createMemoryKeyValue} from '@gentianlift/platform';
import {
	acquireTerm, createHolder, defaultTiming, mayOrder, type AcquirePorts,
} from '../index.js';

const createFleet = () => {
	const clock = createManualClock();
	const keyValue = createMemoryKeyValue({clock, random: createRandom(1)});
	const getPorts = (host: string): AcquirePorts => ({
		keyValue, clock, timing: defaultTiming, self: {host, incarnation: 1},
	});
	const createMember = (host: string) => createHolder({
		...getPorts(host), random: createRandom(2), metrics: createMetrics(), isCandidate: () => true,
	});
	return {
		clock, keyValue, getPorts, createMember,
	};
};

test('one of two hosts holds the lease, and the number rises', async () => {
	const {clock, createMember} = createFleet();
	const [first, second] = [createMember('a'), createMember('b')];
	first.start();
	await clock.advance(1);
	second.start();
	await clock.advance(60_000);
	expect([first.getTerm()?.fencingNumber, second.getTerm()]).toEqual([1, undefined]);
	await first.stop();
	await clock.advance(defaultTiming.poll);
	expect([first.getTerm(), second.getTerm()?.fencingNumber]).toEqual([undefined, 2]);
});

test('a paused holder no longer acts once its lease has lapsed', async () => {
	const {clock, createMember} = createFleet();
	const holder = createMember('a');
	holder.start();
	await clock.advance(1);
	const term = holder.getTerm();
	clock.pause(defaultTiming.lease - defaultTiming.margin + 1);
	expect([term?.fencingNumber, holder.getTerm()]).toEqual([1, undefined]);
});

test('keeps the lease through a short outage, not through a long one', async () => {
	const {clock, keyValue, createMember} = createFleet();
	const holder = createMember('a');
	holder.start();
	await clock.advance(1);
	keyValue.setFaults({outage: true});
	await clock.advance(5000);
	expect(holder.getTerm()?.fencingNumber).toBe(1);
	await clock.advance(10_000);
	expect(holder.getTerm()).toBeUndefined();
	keyValue.setFaults({outage: false});
	await clock.advance(15_000);
	expect(holder.getTerm()?.fencingNumber).toBe(2);
});

test('gives up after a write of unknown outcome', async () => {
	for (const faults of [['lost-reply'], ['late'], ['dropped']] as const) {
		const {keyValue, getPorts} = createFleet();
		keyValue.failWrites(...faults);
		// eslint-disable-next-line no-await-in-loop -- Each case has its own fleet.
		expect(await acquireTerm(getPorts('a'))).toMatchObject({kind: 'failed'});
		// eslint-disable-next-line no-await-in-loop -- Each case has its own fleet.
		expect(await acquireTerm(getPorts('b'))).toMatchObject({kind: 'acquired'});
	}
});

test('an engine that ignores numbers gets orders only when earlier ones have ended', () => {
	const term = {
		fencingNumber: 2, lease: 'l', validUntil: 9000, waitsUntil: 8000,
	};
	const may = (fencing: 'checked' | 'ignored', now: number, order = 500) => mayOrder(term, fencing, now, {order});
	expect([may('checked', 0), may('checked', 8999), may('checked', 9000)]).toEqual([true, true, false]);
	expect([may('ignored', 7999), may('ignored', 8000), may('ignored', 8600)]).toEqual([false, true, false]);
});
