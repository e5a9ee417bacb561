import {createManualClock, createRandom, type Clock} from '@gentianlift/clock';
import type {Parsed} from '@gentianlift/config';
import {createMetrics} from '@gentianlift/metrics';
import {createMemoryKeyValue, type MemoryKeyValue} from '@gentianlift/platform';
import type {
	Configuration, ConfigurationVersion, KeyValueService, Member, PeerCalls,
} from '@gentianlift/types';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {
	createConfigurationFollower, currentKey, publishConfiguration, type ConfigurationFollower, type PublishOutcome,
} from './index.js';

type WatchFactory = (clock: Clock) => KeyValueService['watch'];
type Host = {follower: ConfigurationFollower; isCut: boolean; metrics: ReturnType<typeof createMetrics>};

const parse = (document: unknown): Parsed<Configuration> =>
	document === 'bad' ? {kind: 'invalid', faults: []} : {kind: 'valid', value: document as Configuration};

const createMember = (host: string, incarnation: number, configurationVersion: number): Member => ({
	host, incarnation, zone: 'a', callerAddress: '', peerAddress: '', gossipAddress: '', state: 'alive', configurationVersion, load: 0,
});

const createFleet = (size: number, seed = 1, createWatch?: WatchFactory) => {
	const clock = createManualClock();
	const random = createRandom(seed);
	const service = createMemoryKeyValue({clock, random});
	const hosts = new Map<string, Host>();
	const names = Array.from({length: size}, (_, index) => `h${index}`);
	const getVersionOf = (name: string): number => hosts.get(name)?.follower.getCurrent()?.version ?? 0;
	const applied: number[][] = [];
	const heard = new Map<string, number>();

	const getPeerCalls = (self: string): Pick<PeerCalls, 'readConfiguration'> => ({
		async readConfiguration(to, message) {
			const peer = hosts.get(to);
			await clock.sleep(1 + random.below(20));
			if (peer === undefined || peer.isCut || hosts.get(self)?.isCut) {
				return {kind: 'unreachable', reason: 'cut'};
			}

			return {kind: 'answered', answer: await peer.follower.readConfiguration(self, message)};
		},
	});

	const startHost = async (name: string): Promise<Host> => {
		const metrics = createMetrics();
		const isCut = (): boolean => hosts.get(name)?.isCut ?? false;
		const watchService = createWatch?.(clock) ?? service.watch;
		const follower = createConfigurationFollower({
			clock,
			random,
			metrics,
			keyValue: {
				read: async key => isCut() ? {kind: 'unavailable', reason: 'cut'} : service.read(key),
				async watch(key, after, limit) {
					const outcome = isCut() ? undefined : await watchService(key, after, limit);
					return outcome === undefined || isCut() ? {kind: 'unavailable', reason: 'cut'} : outcome;
				},
			},
			peers: getPeerCalls(name),
			getMembers: () => names.map(host => createMember(host, 1, heard.get(host) ?? 0)),
			self: name,
			parse,
			getOwners: (_key, count) => names.slice(0, count),
		});
		const host: Host = {
			follower, isCut: false, metrics,
		};
		const versions: number[] = [];
		applied.push(versions);
		follower.onChange(({version}) => {
			versions.push(version);
		});
		hosts.get(name)?.follower.stop();
		hosts.set(name, host);
		void follower.start();
		return host;
	};

	/** Spreads version numbers as membership messages do. */
	const spreadRumours = (): void => {
		for (const name of names) {
			heard.set(name, Math.max(heard.get(name) ?? 0, getVersionOf(name)));
		}

		for (const [to, host] of hosts) {
			for (const name of names) {
				if (name !== to && !host.isCut) {
					host.follower.applyRumour(name, heard.get(name) ?? 0);
				}
			}
		}
	};

	const publish = async (configuration: unknown, base: number): Promise<PublishOutcome> => {
		const outcome = publishConfiguration({clock, keyValue: service, parse}, {
			document: configuration, base, token: `${String(configuration)}-${base}-${clock.now()}-${random.next()}`, author: 'test', note: '',
		});
		await clock.advance(9000);
		return outcome;
	};

	clock.every(200, spreadRumours);
	return {
		clock, service, hosts, names, applied, startHost, publish, getVersions: () => names.map(name => getVersionOf(name)),
	};
};

const startFleet = async (size: number, seed?: number, createWatch?: WatchFactory) => {
	const fleet = createFleet(size, seed, createWatch);
	await fleet.publish('first', 0);
	await Promise.all(fleet.names.map(async name => fleet.startHost(name)));
	await fleet.clock.advance(1000);
	return fleet;
};

type Fleet = Awaited<ReturnType<typeof startFleet>>;

const getAccepted = ({service}: Fleet): number => (JSON.parse(service.peek(currentKey)!.value) as ConfigurationVersion).version;

const put = async (service: MemoryKeyValue, version: number, configuration: unknown) => {
	const value = JSON.stringify({
		version, token: `t${version}`, author: '', acceptedAt: 0, note: '', configuration,
	});
	await service.compareAndSwap({key: currentKey, value, expected: service.peek(currentKey)?.revision ?? 0});
};

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
	const host = await fleet.startHost('h2');
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
	const again = await fleet.startHost('h0');
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
			await fleet.startHost(name);
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
