import fc from 'fast-check';
import {expect, test} from 'vitest';
import {
	getAcceptedVersion, writeVersion, startFleet, type Fleet,
} from './fake-fleet.js';

test('a new version becomes active on every host within two seconds', async () => {
	const {clock, service, getVersions} = await startFleet(7);
	await writeVersion(service, 2, 'second');
	await clock.advance(2000);
	expect(getVersions()).toEqual([2, 2, 2, 2, 2, 2, 2]);
});

test('a new version becomes active on every host within eight seconds while no watch responds', async () => {
	const {clock, service, hosts, getVersions} = await startFleet(7, 1, clock => async () => {
		await clock.sleep(Infinity);
		return {kind: 'unchanged'};
	});
	await writeVersion(service, 2, 'second');
	await clock.advance(8000);
	expect(getVersions()).toEqual([2, 2, 2, 2, 2, 2, 2]);
	expect(hosts.get('h0')?.metrics.getValue('configuration_watch_silent')).toBeGreaterThan(0);
});

test('detects a watch that responds but missed a change', async () => {
	const fleet = await startFleet(1, 1, clock => async (_key, _after, limit) => {
		await clock.sleep(limit);
		return {kind: 'unchanged'};
	});
	await fleet.clock.advance(1000);
	await writeVersion(fleet.service, 2, 'second');
	await fleet.clock.advance(6000);
	expect(fleet.getVersions()).toEqual([2]);
	expect(fleet.hosts.get('h0')?.metrics.getValue('configuration_watch_missed')).toBe(1);
});

test('calls a service whose watches end at once at most ten times a second', async () => {
	let watches = 0;
	const fleet = await startFleet(1, 1, () => async () => {
		watches++;
		return {kind: 'unchanged'};
	});
	await fleet.clock.advance(9000);
	expect(watches).toBeLessThanOrEqual(101);
});

test.each([2, 7, 40])('reads the service at a rate that does not depend on the number of hosts, here %i', async size => {
	const {clock, service} = await startFleet(size);
	const before = service.getCallCounts();
	await clock.advance(120_000);
	const after = service.getCallCounts();
	expect((after.reads - before.reads) / 120).toBeLessThan(2);
	expect((after.watches - before.watches) / 120).toBeLessThan(1);
});

test('keeps the active version while the accepted one fails validation', async () => {
	const {clock, service, hosts, getVersions} = await startFleet(3);
	await writeVersion(service, 2, 'bad');
	await clock.advance(10_000);
	expect(getVersions()).toEqual([1, 1, 1]);
	await clock.advance(60_000);
	expect(hosts.get('h1')?.follower.getStatus()).toBe('unconfirmed');
	await writeVersion(service, 3, 'third');
	await clock.advance(3000);
	expect(getVersions()).toEqual([3, 3, 3]);
});

test('keeps the active version when the service returns an older one', async () => {
	const {clock, service, activatedVersions: applied} = await startFleet(3);
	await writeVersion(service, 5, 'fifth');
	await clock.advance(2000);
	await writeVersion(service, 4, 'fourth');
	await clock.advance(20_000);
	expect(applied).toEqual([[1, 5], [1, 5], [1, 5]]);
});

test('a restarted host obtains its version from peers during an outage of the service', async () => {
	const fleet = await startFleet(3);
	fleet.service.setFaults({outage: true});
	const host = fleet.startHost('h2');
	await fleet.clock.advance(2000);
	expect(host.follower.getCurrent()?.version).toBe(1);
	expect(host.follower.getStatus()).toBe('confirmed');
	await fleet.clock.advance(60_000);
	expect(host.follower.getStatus()).toBe('unconfirmed');
});

test('a restarted host rejects a version from peers that is lower than one advertised before the outage', async () => {
	const fleet = await startFleet(3);
	const first = fleet.hosts.get('h0')!;
	fleet.hosts.get('h1')!.isPartitioned = true;
	fleet.hosts.get('h2')!.isPartitioned = true;
	await writeVersion(fleet.service, 2, 'second');
	await fleet.clock.advance(1000);
	expect(first.follower.getCurrent()?.version).toBe(2);
	fleet.service.setFaults({outage: true});
	fleet.hosts.get('h1')!.isPartitioned = false;
	const restarted = fleet.startHost('h0');
	fleet.hosts.get('h2')!.isPartitioned = false;
	await fleet.clock.advance(5000);
	expect(restarted.follower.getStatus()).toBe('none');
	fleet.service.setFaults({outage: false});
	await fleet.clock.advance(10_000);
	expect(fleet.getVersions()).toEqual([2, 2, 2]);
});

test('a host that reaches neither the service nor peers becomes isolated, and recovers', async () => {
	const fleet = await startFleet(3);
	const host = fleet.hosts.get('h2')!;
	host.isPartitioned = true;
	await fleet.clock.advance(9000);
	expect(host.follower.getStatus()).toBe('isolated');
	host.isPartitioned = false;
	await fleet.clock.advance(10_000);
	expect(host.follower.getStatus()).toBe('confirmed');
});

/** A random step of a test; `pick` selects the host and, times 150 ms, the wait after the step. */
type Step = {kind: 'publish' | 'partition' | 'heal' | 'restart' | 'outage' | 'recover' | 'wait'; pick: number};

const faultSteps = fc.array(fc.record<Step>({
	kind: fc.constantFrom('publish', 'partition', 'heal', 'restart', 'outage', 'recover', 'wait'),
	pick: fc.nat(6),
}), {maxLength: 25});

const applyStep = async (fleet: Fleet, {kind, pick}: Step): Promise<void> => {
	const name = fleet.hostNames[pick % fleet.hostNames.length]!;
	switch (kind) {
		case 'publish': {
			await writeVersion(fleet.service, getAcceptedVersion(fleet) + 1, kind);
			break;
		}

		case 'restart': {
			fleet.startHost(name);
			break;
		}

		case 'partition':
		case 'heal': {
			fleet.hosts.get(name)!.isPartitioned = kind === 'partition';
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

test('version numbers never decrease and all hosts converge after any sequence of faults', async () => {
	await fc.assert(fc.asyncProperty(fc.integer(), faultSteps, async (seed, schedule) => {
		const fleet = await startFleet(4, seed);
		for (const step of schedule) {
			// eslint-disable-next-line no-await-in-loop -- The steps run in sequence.
			await applyStep(fleet, step);
		}

		for (const versions of fleet.activatedVersions) {
			expect(versions).toEqual(versions.toSorted((a, b) => a - b));
		}

		fleet.service.setFaults({outage: false});
		for (const host of fleet.hosts.values()) {
			host.isPartitioned = false;
		}

		await fleet.clock.advance(12_000);
		expect(fleet.getVersions()).toEqual(fleet.hostNames.map(() => getAcceptedVersion(fleet)));
		expect([...fleet.hosts.values()].every(({follower}) => follower.isConfirmed())).toBe(true);
	}), {seed: 7, numRuns: 60});
});

// Guards against: a host that stops before it has its first version goes on reading the service and its peers.
test('a follower that is stopped while it obtains its first version follows no further', async () => {
	const {clock, service, startHost} = await startFleet(3);
	const {follower} = startHost('h2');
	follower.stop();
	await clock.advance(1000);
	await writeVersion(service, 2, 'second');
	await clock.advance(20_000);
	expect(follower.getCurrent()?.version).toBe(1);
});
