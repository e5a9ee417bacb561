import {expect, test} from 'vitest';
import {createManualClock, createRandom} from '@gentianlift/clock';
import {createMetrics} from '@gentianlift/metrics';
import {createMemoryKeyValue} from '@gentianlift/platform';
import {
	acquireTerm, createLeaderElection, defaultTiming, holderKey, isOrderAllowed, type AcquireOptions,
} from '../index.js';

const createFleet = () => {
	const clock = createManualClock();
	const keyValue = createMemoryKeyValue({clock, random: createRandom(1)});
	const getOptions = (host: string): AcquireOptions => ({
		keyValue, clock, timing: defaultTiming, self: {host, incarnation: 1},
	});
	const createElection = (host: string, usedKeyValue: AcquireOptions['keyValue'] = keyValue) => createLeaderElection({
		...getOptions(host), keyValue: usedKeyValue, random: createRandom(2), metrics: createMetrics(), isCandidate: () => true,
	});
	return {
		clock, keyValue, getOptions, createElection,
	};
};

test('only one of two hosts holds the lease, and the fencing number rises', async () => {
	const {clock, createElection} = createFleet();
	const [first, second] = [createElection('a'), createElection('b')];
	first.start();
	await clock.advance(1);
	second.start();
	await clock.advance(60_000);
	expect([first.getTerm()?.fencingNumber, second.getTerm()]).toEqual([1, undefined]);
	await first.stop();
	await clock.advance(defaultTiming.pollInterval);
	expect([first.getTerm(), second.getTerm()?.fencingNumber]).toEqual([undefined, 2]);
});

test('a paused holder has no term once its lease has lapsed', async () => {
	const {clock, createElection} = createFleet();
	const election = createElection('a');
	election.start();
	await clock.advance(1);
	const term = election.getTerm();
	clock.pause(defaultTiming.leaseDuration - defaultTiming.validityMargin + 1);
	expect([term?.fencingNumber, election.getTerm()]).toEqual([1, undefined]);
});

test('keeps the lease during a short outage, not during a long one', async () => {
	const {clock, keyValue, createElection} = createFleet();
	const election = createElection('a');
	election.start();
	await clock.advance(1);
	keyValue.setFaults({outage: true});
	await clock.advance(5000);
	expect(election.getTerm()?.fencingNumber).toBe(1);
	await clock.advance(10_000);
	expect(election.getTerm()).toBeUndefined();
	keyValue.setFaults({outage: false});
	await clock.advance(15_000);
	expect(election.getTerm()?.fencingNumber).toBe(2);
});

test('releases the lease after a write of unknown outcome', async () => {
	for (const faults of [['lost-reply'], ['late'], ['dropped']] as const) {
		const {keyValue, getOptions} = createFleet();
		keyValue.injectWriteFaults(...faults);
		// eslint-disable-next-line no-await-in-loop -- Each case has its own fleet.
		expect(await acquireTerm(getOptions('a'))).toMatchObject({kind: 'failed'});
		// eslint-disable-next-line no-await-in-loop -- Each case has its own fleet.
		expect(await acquireTerm(getOptions('b'))).toMatchObject({kind: 'acquired'});
	}
});

test('an engine that ignores fencing numbers gets orders only after earlier ones have ended', () => {
	const term = {
		fencingNumber: 2, leaseId: 'l', validUntil: 9000, unfencedOrdersFrom: 8000,
	};
	const isAllowed = (fencing: 'checked' | 'ignored', now: number, orderTimeout = 500) => isOrderAllowed(term, fencing, now, {orderTimeout});
	expect([isAllowed('checked', 0), isAllowed('checked', 8999), isAllowed('checked', 9000)]).toEqual([true, true, false]);
	expect([isAllowed('ignored', 7999), isAllowed('ignored', 8000), isAllowed('ignored', 8600)]).toEqual([false, true, false]);
});

// Guards against: a host ends while it acquires the lease, which then has no holder until it lapses.
test.each([1, 2, 3, 4, 5])('a host that stops during call %i of the acquisition of the lease leaves it free, after one more call at most', async calls => {
	const {clock, keyValue, createElection} = createFleet();
	const callTime = 400;
	const delay = async <Outcome>(call: Promise<Outcome>): Promise<Outcome> => {
		const outcome = await call;
		await clock.sleep(callTime);
		return outcome;
	};

	const slowKeyValue: AcquireOptions['keyValue'] = {
		...keyValue,
		read: async key => delay(keyValue.read(key)),
		grantLease: async duration => delay(keyValue.grantLease(duration)),
		compareAndSwap: async write => delay(keyValue.compareAndSwap(write)),
		endLease: async lease => delay(keyValue.endLease(lease)),
	};
	const election = createElection('a', slowKeyValue);
	election.start();
	await clock.advance((calls - 0.5) * callTime);
	const stoppedAt = clock.monotonic();
	const end = election.stop().then(async () => ({holder: await keyValue.read(holderKey), after: clock.monotonic() - stoppedAt}));
	await clock.advance(10 * callTime);
	const {holder, after} = await end;
	expect(holder).toMatchObject({kind: 'absent'});
	expect(after).toBeLessThanOrEqual(2 * callTime);
	expect(election.getTerm()).toBeUndefined();
});
