import {createManualClock, type ManualClock} from '@gentianlift/clock';
import type {HostState} from '@gentianlift/types';
import {expect, test} from 'vitest';
import {createTestFleet, getGossipAddress, type TestFleet} from './test-fleet.js';
import {getSuspicionTimeout} from './protocol/timing.js';

const convergenceTime = 20_000;

const startFleet = async (count: number, seed = 1): Promise<{clock: ManualClock; fleet: TestFleet}> => {
	const clock = createManualClock(1_000_000);
	const fleet = createTestFleet({clock, seed});
	for (let index = 0; index < count; index++) {
		// eslint-disable-next-line no-await-in-loop -- Hosts start one after another.
		await fleet.start(`h${index}`);
	}

	await clock.advance(convergenceTime);
	return {clock, fleet};
};

const getObservedStates = (fleet: TestFleet, host: string): Array<HostState | undefined> =>
	fleet.getRunningHosts().filter(viewer => viewer !== host).map(viewer => fleet.getState(viewer, host));

const expectState = (fleet: TestFleet, host: string, state: HostState): void => {
	expect(new Set(getObservedStates(fleet, host)), host).toEqual(new Set([state]));
};

const expectAllInState = (fleet: TestFleet, state: HostState): void => {
	for (const host of fleet.getRunningHosts()) {
		expectState(fleet, host, state);
	}
};

/** Returns a set that fills with the states into which the given hosts see others change. */
const recordStateChanges = (fleet: TestFleet, viewers: string[]): Set<HostState> => {
	const states = new Set<HostState>();
	for (const viewer of viewers) {
		fleet.getMembership(viewer).onChange(({after}) => {
			states.add(after.state);
		});
	}

	return states;
};

test('all hosts find each other', async () => {
	const {fleet} = await startFleet(7);
	expectAllInState(fleet, 'alive');
});

test('a killed host is seen as gone by all hosts within 10 s', async () => {
	const {clock, fleet} = await startFleet(7);
	fleet.kill('h3');
	await clock.advance(10_000);
	expectState(fleet, 'h3', 'gone');
	expectAllInState(fleet, 'alive');
});

test('a host that stops is seen as gone within 2 s', async () => {
	const {clock, fleet} = await startFleet(7);
	fleet.getMembership('h3').stop();
	await clock.advance(2000);
	expectState(fleet, 'h3', 'gone');
});

// Guards against: a host closes its listener while others still give callers its address.
test.each([7, 40])('every host knows within 2 s that one is draining, in a fleet of %i', async size => {
	const {clock, fleet} = await startFleet(size);
	fleet.getMembership('h3').setDraining(true);
	await clock.advance(2000);
	expectState(fleet, 'h3', 'draining');
});

test('a new process of a host is not mistaken for the old one', async () => {
	const {clock, fleet} = await startFleet(7);
	const before = fleet.getMembership('h0').getMembers().find(({host}) => host === 'h3');
	fleet.kill('h3');
	await fleet.start('h3');
	await clock.advance(5000);
	expectAllInState(fleet, 'alive');
	const after = fleet.getMembership('h0').getMembers().find(({host}) => host === 'h3');
	expect(after?.incarnation).toBeGreaterThan(before?.incarnation ?? 0);
});

test('draining and its end reach all hosts', async () => {
	const {clock, fleet} = await startFleet(7);
	fleet.getMembership('h3').setDraining(true);
	await clock.advance(2000);
	expectState(fleet, 'h3', 'draining');
	fleet.getMembership('h3').setDraining(false);
	await clock.advance(2000);
	expectAllInState(fleet, 'alive');
});

test('a host that receives nothing is declared gone, and itself declares no host gone within 10 s', async () => {
	const {clock, fleet} = await startFleet(7);
	fleet.network.setPartition((_from, to) => to === getGossipAddress('h3'));
	await clock.advance(10_000);
	expectState(fleet, 'h3', 'gone');
	expect(fleet.getMembership('h3').getMembers().filter(({state}) => state === 'gone')).toEqual([]);
	fleet.network.setPartition(() => false);
	await clock.advance(15_000);
	expectAllInState(fleet, 'alive');
});

test('a one-way loss between two hosts changes no state', async () => {
	const {clock, fleet} = await startFleet(7);
	const observedStates = recordStateChanges(fleet, fleet.getRunningHosts());
	fleet.network.setPartition((from, to) => from === getGossipAddress('h2') && to === getGossipAddress('h5'));
	await clock.advance(60_000);
	expect([...observedStates]).toEqual([]);
});

test('with a tenth of all datagrams lost, no host is declared gone', async () => {
	const {clock, fleet} = await startFleet(7);
	const observedStates = recordStateChanges(fleet, fleet.getRunningHosts());
	fleet.network.setLossRate(0.1);
	await clock.advance(120_000);
	expect(observedStates.has('gone')).toBe(false);
});

test('the halves of a partitioned fleet merge again', async () => {
	const {clock, fleet} = await startFleet(8);
	const isInFirstHalf = (address: string): boolean => Number(address.slice(1, 2)) < 4;
	fleet.network.setPartition((from, to) => isInFirstHalf(from) !== isInFirstHalf(to));
	await clock.advance(600_000);
	expect(fleet.getState('h0', 'h7')).toBe('gone');
	fleet.network.setPartition(() => false);
	await clock.advance(30_000);
	expectAllInState(fleet, 'alive');
});

test('the hosts of a lost zone are gone, and the others stay alive', async () => {
	const {clock, fleet} = await startFleet(9);
	for (const host of ['h2', 'h5', 'h8']) {
		fleet.kill(host);
	}

	await clock.advance(12_000);
	expectState(fleet, 'h5', 'gone');
	expectAllInState(fleet, 'alive');
});

test('a host paused for 12 s declares no host gone, and rejoins', async () => {
	const {clock, fleet} = await startFleet(7);
	const observedStates = recordStateChanges(fleet, ['h3']);
	fleet.setPaused('h3', true);
	await clock.advance(12_000);
	expectState(fleet, 'h3', 'gone');
	fleet.setPaused('h3', false);
	await clock.advance(10_000);
	expect(observedStates.has('gone')).toBe(false);
	expectAllInState(fleet, 'alive');
});

test('a host with a late event loop suspects no host whose acknowledgement it has not read yet', async () => {
	const {clock, fleet} = await startFleet(7);
	const observedStates = recordStateChanges(fleet, ['h3']);
	for (let round = 0; round < 40; round++) {
		fleet.setPaused('h3', true);
		// eslint-disable-next-line no-await-in-loop -- Pauses follow each other.
		await clock.advance(600);
		fleet.setPaused('h3', false);
		// eslint-disable-next-line no-await-in-loop -- Pauses follow each other.
		await clock.advance(150);
	}

	expect([...observedStates]).toEqual([]);
});

test('a configuration version reaches all hosts within 2 s', async () => {
	const {clock, fleet} = await startFleet(7);
	fleet.getMembership('h4').setConfigurationVersion(9);
	await clock.advance(2000);
	const versions = fleet.getRunningHosts().map(viewer => fleet.getMembership(viewer).getMembers().find(({host}) => host === 'h4')?.configurationVersion);
	expect(new Set(versions)).toEqual(new Set([9]));
});

test('an announcement reaches all hosts, including one that joins later, and expires', async () => {
	const {clock, fleet} = await startFleet(7);
	fleet.getMembership('h4').publishAnnouncement({
		topic: 'upstream-failed', key: 'e1', value: 'reset', duration: 20_000,
	});
	await clock.advance(2000);
	await fleet.start('h7');
	await clock.advance(3000);
	for (const host of fleet.getRunningHosts()) {
		expect(fleet.getMembership(host).getAnnouncements('upstream-failed'), host).toMatchObject([{key: 'e1', value: 'reset', host: 'h4'}]);
	}

	await clock.advance(20_000);
	expect(fleet.getMembership('h0').getAnnouncements('upstream-failed')).toEqual([]);
});

test('replayed, corrupted and too short datagrams are counted and dropped', async () => {
	const {clock, fleet} = await startFleet(3);
	const datagrams: Uint8Array[] = [];
	fleet.network.onSend((_from, to, bytes) => {
		if (to === getGossipAddress('h0')) {
			datagrams.push(bytes);
		}
	});
	await clock.advance(2000);
	const [replayed = new Uint8Array(0)] = datagrams;
	const corrupted = replayed.map((byte, index) => index === 40 ? byte + 1 : byte);
	for (const bytes of [replayed, corrupted, new Uint8Array(3)]) {
		fleet.network.inject(getGossipAddress('h0'), bytes);
	}

	const getDropped = (reason: string): number => fleet.getMetrics('h0').getValue('membership_messages_dropped', {reason});
	expect(getDropped('replayed')).toBe(1);
	expect(getDropped('signature')).toBe(2);
});

test('hosts with rotated keys accept each other, and not a host with another key', async () => {
	const clock = createManualClock(1_000_000);
	const fleet = createTestFleet({clock, seed: 1, keys: {h0: ['old', 'new'], h1: ['new', 'old'], h2: ['stranger']}});
	for (const host of ['h0', 'h1', 'h2']) {
		// eslint-disable-next-line no-await-in-loop -- Hosts start one after another.
		await fleet.start(host);
	}

	await clock.advance(convergenceTime);
	expect(fleet.getState('h0', 'h1')).toBe('alive');
	expect(fleet.getState('h1', 'h0')).toBe('alive');
	expect(fleet.getState('h0', 'h2')).toBeUndefined();
});

test('a host that the host list has as leaving is draining until its next process', async () => {
	const {clock, fleet} = await startFleet(3);
	await clock.advance(60_000);
	fleet.listedHosts.push({
		id: 'h2', kind: 'entry', address: 'h2:80', zone: 'z2', state: 'leaving',
	});
	await clock.advance(11_000);
	expect(fleet.getState('h0', 'h2')).toBe('draining');
	fleet.kill('h2');
	await fleet.start('h2');
	await clock.advance(15_000);
	expect(fleet.getState('h0', 'h2')).toBe('alive');
});

test('the suspicion timeout grows slowly with the fleet', () => {
	expect(getSuspicionTimeout(480) / getSuspicionTimeout(7)).toBeLessThan(3);
});

test('datagram sizes are bounded, and the traffic of a host hardly grows with the fleet', async () => {
	const measureTraffic = async (count: number): Promise<{largest: number; bytesPerSecond: number}> => {
		const {clock, fleet} = await startFleet(count);
		let [largest, bytes] = [0, 0];
		await clock.advance(30_000);
		fleet.network.onSend((_from, _to, datagram) => {
			largest = Math.max(largest, datagram.length);
			bytes += datagram.length + 28;
		});
		await clock.advance(10_000);
		return {largest, bytesPerSecond: bytes / count / 10};
	};

	const [small, large] = [await measureTraffic(7), await measureTraffic(40)];
	expect(Math.max(small.largest, large.largest)).toBeLessThan(1100);
	expect(large.bytesPerSecond).toBeLessThan(3000);
	expect(large.bytesPerSecond / small.bytesPerSecond).toBeLessThan(1.5);
});
