import fc from 'fast-check';
import {expect, test} from 'vitest';
import {
	getAccepted, put, startFleet, type Fleet,
} from './fake-fleet.js';

test('reaches every host within two seconds', async () => {
	const {clock, service, getVersions} = await startFleet(7);
	await put(service, 2, 'second');
	await clock.advance(2000);
	expect(getVersions()).toEqual([2, 2, 2, 2, 2, 2, 2]);
});

test('reaches every host within eight seconds while all watches are silent', async () => {
	const {clock, service, hosts, getVersions} = await startFleet(7, 1, clock => async () => {
		await clock.sleep(Infinity);
		return {kind: 'unchanged'};
	});
	await put(service, 2, 'second');
	await clock.advance(8000);
	expect(getVersions()).toEqual([2, 2, 2, 2, 2, 2, 2]);
	expect(hosts.get('h0')?.metrics.getValue('configuration_watch_silent')).toBeGreaterThan(0);
});

test('finds a watch that answers and missed a change', async () => {
	const fleet = await startFleet(1, 1, clock => async (_key, _after, limit) => {
		await clock.sleep(limit);
		return {kind: 'unchanged'};
	});
	await fleet.clock.advance(1000);
	await put(fleet.service, 2, 'second');
	await fleet.clock.advance(6000);
	expect(fleet.getVersions()).toEqual([2]);
	expect(fleet.hosts.get('h0')?.metrics.getValue('configuration_watch_missed')).toBe(1);
});

test('asks a service whose watches end at once ten times a second', async () => {
	let watches = 0;
	const fleet = await startFleet(1, 1, () => async () => {
		watches++;
		return {kind: 'unchanged'};
	});
	await fleet.clock.advance(9000);
	expect(watches).toBeLessThanOrEqual(101);
});

test.each([2, 7, 40])('reads the service at a rate that does not grow with %i hosts', async size => {
	const {clock, service} = await startFleet(size);
	const before = service.getCalls();
	await clock.advance(120_000);
	const after = service.getCalls();
	expect((after.reads - before.reads) / 120).toBeLessThan(2);
	expect((after.watches - before.watches) / 120).toBeLessThan(1);
});

test('keeps the version when an invalid one is accepted elsewhere', async () => {
	const {clock, service, hosts, getVersions} = await startFleet(3);
	await put(service, 2, 'bad');
	await clock.advance(10_000);
	expect(getVersions()).toEqual([1, 1, 1]);
	await clock.advance(60_000);
	expect(hosts.get('h1')?.follower.getStanding()).toBe('unconfirmed');
	await put(service, 3, 'third');
	await clock.advance(3000);
	expect(getVersions()).toEqual([3, 3, 3]);
});

test('never returns to an older version of the service', async () => {
	const {clock, service, applied} = await startFleet(3);
	await put(service, 5, 'fifth');
	await clock.advance(2000);
	await put(service, 4, 'fourth');
	await clock.advance(20_000);
	expect(applied).toEqual([[1, 5], [1, 5], [1, 5]]);
});

test('starts from peers during an outage', async () => {
	const fleet = await startFleet(3);
	fleet.service.setFaults({outage: true});
	const host = fleet.startHost('h2');
	await fleet.clock.advance(2000);
	expect(host.follower.getCurrent()?.version).toBe(1);
	expect(host.follower.getStanding()).toBe('confirmed');
	await fleet.clock.advance(60_000);
	expect(host.follower.getStanding()).toBe('unconfirmed');
});

test('does not start during an outage below a version that some host held', async () => {
	const fleet = await startFleet(3);
	const first = fleet.hosts.get('h0')!;
	fleet.hosts.get('h1')!.isCut = true;
	fleet.hosts.get('h2')!.isCut = true;
	await put(fleet.service, 2, 'second');
	await fleet.clock.advance(1000);
	expect(first.follower.getCurrent()?.version).toBe(2);
	fleet.service.setFaults({outage: true});
	fleet.hosts.get('h1')!.isCut = false;
	const again = fleet.startHost('h0');
	fleet.hosts.get('h2')!.isCut = false;
	await fleet.clock.advance(5000);
	expect(again.follower.getStanding()).toBe('none');
	fleet.service.setFaults({outage: false});
	await fleet.clock.advance(10_000);
	expect(fleet.getVersions()).toEqual([2, 2, 2]);
});

test('a host that reaches neither the service nor peers is isolated, and recovers', async () => {
	const fleet = await startFleet(3);
	const host = fleet.hosts.get('h2')!;
	host.isCut = true;
	await fleet.clock.advance(9000);
	expect(host.follower.getStanding()).toBe('isolated');
	host.isCut = false;
	await fleet.clock.advance(10_000);
	expect(host.follower.getStanding()).toBe('confirmed');
});

type Step = {kind: 'publish' | 'cut' | 'heal' | 'restart' | 'outage' | 'recover' | 'wait'; pick: number};

const steps = fc.array(fc.record<Step>({
	kind: fc.constantFrom('publish', 'cut', 'heal', 'restart', 'outage', 'recover', 'wait'),
	pick: fc.nat(6),
}), {maxLength: 25});

const applyStep = async (fleet: Fleet, {kind, pick}: Step): Promise<void> => {
	const name = fleet.names[pick % fleet.names.length]!;
	switch (kind) {
		case 'publish': {
			await put(fleet.service, getAccepted(fleet) + 1, kind);
			break;
		}

		case 'restart': {
			fleet.startHost(name);
			break;
		}

		case 'cut':
		case 'heal': {
			fleet.hosts.get(name)!.isCut = kind === 'cut';
			break;
		}

		case 'outage':
		case 'recover': {
			fleet.service.setFaults({outage: kind === 'outage'});
			break;
		}

		case 'wait': {
			break;
		}
	}

	await fleet.clock.advance(pick * 150);
};

test('never goes back and converges after any faults', async () => {
	await fc.assert(fc.asyncProperty(fc.integer(), steps, async (seed, plan) => {
		const fleet = await startFleet(4, seed);
		for (const step of plan) {
			// eslint-disable-next-line no-await-in-loop -- Steps follow one another.
			await applyStep(fleet, step);
		}

		for (const versions of fleet.applied) {
			expect(versions).toEqual(versions.toSorted((a, b) => a - b));
		}

		fleet.service.setFaults({outage: false});
		for (const host of fleet.hosts.values()) {
			host.isCut = false;
		}

		await fleet.clock.advance(12_000);
		expect(fleet.getVersions()).toEqual(fleet.names.map(() => getAccepted(fleet)));
		expect([...fleet.hosts.values()].every(({follower}) => follower.isConfirmed())).toBe(true);
	}), {seed: 7, numRuns: 60});
});
