import {createManualClock} from '@gentianlift/clock';
import type {Milliseconds} from '@gentianlift/types';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createTestFleet, getGossipAddress, type TestFleet} from './test-fleet.js';
import {getEligibleHosts, getOwner} from './ownership.js';

type Step
	= | {kind: 'kill' | 'start' | 'stop' | 'drain' | 'undrain' | 'deafen' | 'mute' | 'pause' | 'resume'; host: number}
		| {kind: 'split'; at: number}
		| {kind: 'lose'; lossRate: number}
		| {kind: 'heal'};

type HostAction = 'start' | 'kill' | 'stop' | 'drain' | 'undrain' | 'pause' | 'resume';

const hostCount = 5;
const maxConvergenceTime: Milliseconds = 15_000;
const settleTime: Milliseconds = 60_000;
const hosts = Array.from({length: hostCount}, (_, index) => `h${index}`);
const keys = Array.from({length: 20}, (_, index) => `key-${index}`);

const hostIndex = fc.integer({min: 0, max: hostCount - 1});
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
	fc.record({kind: fc.constantFrom('kill', 'start', 'stop', 'drain', 'undrain', 'deafen', 'mute', 'pause', 'resume'), host: hostIndex}),
	fc.record({kind: fc.constant('split'), at: fc.integer({min: 1, max: hostCount - 1})}),
	fc.record({kind: fc.constant('lose'), lossRate: fc.double({min: 0, max: 0.3, noNaN: true})}),
	fc.record({kind: fc.constant('heal')}),
);
const scheduleArbitrary = fc.array(fc.record({step: stepArbitrary, wait: fc.integer({min: 0, max: 12_000})}), {minLength: 1, maxLength: 8});

const getHostIndex = (address: string): number => Number(address.slice(1, address.indexOf(':')));

const heal = (fleet: TestFleet): void => {
	fleet.network.setPartition(() => false);
	fleet.network.setLossRate(0);
	for (const name of fleet.getRunningHosts()) {
		fleet.setPaused(name, false);
	}
};

const applyStep = async (fleet: TestFleet, step: Step): Promise<void> => {
	const {network} = fleet;
	switch (step.kind) {
		case 'split': {
			network.setPartition((from, to) => (getHostIndex(from) < step.at) !== (getHostIndex(to) < step.at));
			break;
		}

		case 'lose': {
			network.setLossRate(step.lossRate);
			break;
		}

		case 'heal': {
			heal(fleet);
			break;
		}

		case 'deafen': {
			network.setPartition((_from, to) => to === getGossipAddress(`h${step.host}`));
			break;
		}

		case 'mute': {
			network.setPartition(from => from === getGossipAddress(`h${step.host}`));
			break;
		}

		case 'start':
		case 'kill':
		case 'stop':
		case 'drain':
		case 'undrain':
		case 'pause':
		case 'resume': {
			await applyHostAction(fleet, step.kind, `h${step.host}`);
		}
	}
};

const applyHostAction = async (fleet: TestFleet, kind: HostAction, name: string): Promise<void> => {
	const isRunning = fleet.getRunningHosts().includes(name);
	if (!isRunning) {
		await (kind === 'start' ? fleet.start(name) : undefined);
		return;
	}

	switch (kind) {
		case 'start': {
			break;
		}

		case 'kill': {
			fleet.kill(name);
			break;
		}

		case 'stop': {
			fleet.getMembership(name).stop();
			fleet.kill(name);
			break;
		}

		case 'drain':
		case 'undrain': {
			fleet.getMembership(name).setDraining(kind === 'drain');
			break;
		}

		case 'pause':
		case 'resume': {
			fleet.setPaused(name, kind === 'pause');
			break;
		}
	}
};

/** Returns the owner of a key in the view of a host. */
const getOwnerAt = (fleet: TestFleet, viewer: string, key: string): string | undefined =>
	getOwner(key, getEligibleHosts(fleet.getMembership(viewer).getMembers()));

const getSummary = (fleet: TestFleet, viewer: string): string => {
	const members = fleet.getMembership(viewer).getMembers().filter(({state}) => state !== 'gone');
	return members.map(member => `${member.host} ${member.incarnation} ${member.state}`).toSorted().join(', ');
};

test('after a random schedule of faults and a settling time, all views agree and contain exactly the running hosts', async () => {
	await fc.assert(fc.asyncProperty(scheduleArbitrary, fc.integer(), async (steps, seed) => {
		const clock = createManualClock(1_000_000);
		const fleet = createTestFleet({clock, seed});
		await Promise.all(hosts.map(async name => fleet.start(name)));
		await clock.advance(10_000);
		for (const {step, wait} of steps) {
			// eslint-disable-next-line no-await-in-loop -- Steps follow each other.
			await applyStep(fleet, step);
			// eslint-disable-next-line no-await-in-loop -- Steps follow each other.
			await clock.advance(wait);
		}

		heal(fleet);
		await clock.advance(settleTime);
		const running = fleet.getRunningHosts();
		const views = new Set(running.map(viewer => getSummary(fleet, viewer)));
		expect(views.size).toBeLessThanOrEqual(1);
		for (const viewer of running) {
			const present = fleet.getMembership(viewer).getMembers().filter(({state}) => state !== 'gone').map(({host: name}) => name);
			expect(present.toSorted()).toEqual(running.toSorted());
		}
	}), {seed: 7, numRuns: 60});
});

test('after hosts are killed, every key has one running owner within the convergence time', async () => {
	await fc.assert(fc.asyncProperty(fc.subarray(hosts, {minLength: 1, maxLength: 3}), fc.integer(), async (killedHosts, seed) => {
		const clock = createManualClock(1_000_000);
		const fleet = createTestFleet({clock, seed});
		await Promise.all(hosts.map(async name => fleet.start(name)));
		await clock.advance(10_000);
		for (const name of killedHosts) {
			fleet.kill(name);
		}

		await clock.advance(maxConvergenceTime);
		const running = fleet.getRunningHosts();
		for (const key of keys) {
			const owners = new Set(running.map(viewer => getOwnerAt(fleet, viewer, key)));
			expect(owners.size).toBe(1);
			expect(running).toContain([...owners][0]);
		}
	}), {seed: 7, numRuns: 30});
});
