import {createManualClock, createRandom, type Clock} from '@gentianlift/clock';
import type {ParseResult} from '@gentianlift/config';
import {createMetrics} from '@gentianlift/metrics';
import {createMemoryKeyValue, type MemoryKeyValue} from '@gentianlift/platform';
import type {
	Configuration, ConfigurationVersion, KeyValueService, Member, PeerCalls,
} from '@gentianlift/types';
import {
	createConfigurationFollower, currentVersionKey, publishConfiguration, type ConfigurationFollower, type PublishOutcome,
} from './index.js';

/** Creates a replacement for a host's watch of the key-value service. */
export type WatchFactory = (clock: Clock) => KeyValueService['watch'];
/** A host of a fake fleet. A partitioned host reaches neither peers nor the key-value service. */
export type FakeHost = {follower: ConfigurationFollower; isPartitioned: boolean; metrics: ReturnType<typeof createMetrics>};

const parse = (document: unknown): ParseResult<Configuration> =>
	document === 'bad' ? {kind: 'invalid', faults: []} : {kind: 'valid', value: document as Configuration};

const createMember = (host: string, incarnation: number, configurationVersion: number): Member => ({
	host, incarnation, zone: 'a', callerAddress: '', peerAddress: '', gossipAddress: '', state: 'alive', configurationVersion, load: 0,
});

const advertiseIntervalMs = 200;
/** Time that the clock advances for a publication, more than its timeout of 8 seconds. */
const publishDurationMs = 9000;

const createFleetParts = (size: number, seed: number) => {
	const clock = createManualClock();
	const random = createRandom(seed);
	return {
		clock,
		random,
		service: createMemoryKeyValue({clock, random}),
		hosts: new Map<string, FakeHost>(),
		hostNames: Array.from({length: size}, (_, index) => `h${index}`),
		/** Versions that became active, in order, with one list for each start of a host. */
		activatedVersions: [] as number[][],
		/** Version numbers that membership messages advertise for each host. */
		advertised: new Map<string, number>(),
	};
};

type FleetParts = ReturnType<typeof createFleetParts>;

const getActiveVersion = ({hosts}: FleetParts, name: string): number => hosts.get(name)?.follower.getCurrent()?.version ?? 0;

const createFakePeerCalls = ({clock, random, hosts}: FleetParts, self: string): Pick<PeerCalls, 'readConfiguration'> => ({
	async readConfiguration(to, message) {
		const peer = hosts.get(to);
		await clock.sleep(1 + random.nextInt(20));
		if (peer === undefined || peer.isPartitioned || hosts.get(self)?.isPartitioned) {
			return {kind: 'unreachable', reason: 'partitioned'};
		}

		return {kind: 'answered', answer: await peer.follower.readConfiguration(self, message)};
	},
});

const createFakeServiceCalls = ({clock, hosts, service}: FleetParts, name: string, createWatch?: WatchFactory): Pick<KeyValueService, 'read' | 'watch'> => {
	const isPartitioned = (): boolean => hosts.get(name)?.isPartitioned ?? false;
	const watch = createWatch?.(clock) ?? service.watch;
	return {
		read: async key => isPartitioned() ? {kind: 'unavailable', reason: 'partitioned'} : service.read(key),
		async watch(key, after, limit) {
			const outcome = isPartitioned() ? undefined : await watch(key, after, limit);
			return outcome === undefined || isPartitioned() ? {kind: 'unavailable', reason: 'partitioned'} : outcome;
		},
	};
};

const startHost = (parts: FleetParts, name: string, createWatch?: WatchFactory): FakeHost => {
	const {clock, random, hosts, hostNames, activatedVersions, advertised} = parts;
	const metrics = createMetrics();
	const follower = createConfigurationFollower({
		clock,
		random,
		metrics,
		keyValue: createFakeServiceCalls(parts, name, createWatch),
		peers: createFakePeerCalls(parts, name),
		getMembers: () => hostNames.map(host => createMember(host, 1, advertised.get(host) ?? 0)),
		self: name,
		parse,
		getOwners: (_key, count) => hostNames.slice(0, count),
	});
	const host: FakeHost = {follower, isPartitioned: false, metrics};
	const versions: number[] = [];
	activatedVersions.push(versions);
	follower.onChange(({version}) => {
		versions.push(version);
	});
	hosts.get(name)?.follower.stop();
	hosts.set(name, host);
	void follower.start();
	return host;
};

/** Delivers the hosts' version numbers to the followers, as membership messages do. */
const advertiseVersions = (parts: FleetParts): void => {
	const {hosts, hostNames, advertised} = parts;
	for (const name of hostNames) {
		advertised.set(name, Math.max(advertised.get(name) ?? 0, getActiveVersion(parts, name)));
	}

	for (const [to, host] of hosts) {
		for (const name of hostNames.filter(other => other !== to && !host.isPartitioned)) {
			host.follower.recordAdvertisedVersion(name, advertised.get(name) ?? 0);
		}
	}
};

const publish = async ({clock, random, service}: FleetParts, configuration: unknown, base: number): Promise<PublishOutcome> => {
	const outcome = publishConfiguration({clock, keyValue: service, parse}, {
		document: configuration, base, token: `${String(configuration)}-${base}-${clock.now()}-${random.next()}`, author: 'test', note: '',
	});
	await clock.advance(publishDurationMs);
	return outcome;
};

const createFleet = (size: number, seed = 1, createWatch?: WatchFactory) => {
	const parts = createFleetParts(size, seed);
	const advertise = (): void => {
		advertiseVersions(parts);
		parts.clock.after(advertiseIntervalMs, advertise);
	};

	parts.clock.after(advertiseIntervalMs, advertise);
	return {
		...parts,
		startHost: (name: string): FakeHost => startHost(parts, name, createWatch),
		publish: async (configuration: unknown, base: number) => publish(parts, configuration, base),
		getVersions: () => parts.hostNames.map(name => getActiveVersion(parts, name)),
	};
};

/** Creates a fleet on a manual clock, with the first version active on every host. */
export const startFleet = async (size: number, seed?: number, createWatch?: WatchFactory) => {
	const fleet = createFleet(size, seed, createWatch);
	await fleet.publish('first', 0);
	for (const name of fleet.hostNames) {
		fleet.startHost(name);
	}

	await fleet.clock.advance(1000);
	return fleet;
};

/** A fake fleet on a manual clock. */
export type Fleet = Awaited<ReturnType<typeof startFleet>>;

/** Returns the number of the newest accepted version. */
export const getAcceptedVersion = ({service}: Fleet): number => (JSON.parse(service.peek(currentVersionKey)!.value) as ConfigurationVersion).version;

/** Writes a version to the key-value service as a publisher does. */
export const writeVersion = async (service: MemoryKeyValue, version: number, configuration: unknown) => {
	const value = JSON.stringify({
		version, token: `t${version}`, author: '', acceptedAt: 0, note: '', configuration,
	});
	await service.compareAndSwap({key: currentVersionKey, value, expected: service.peek(currentVersionKey)?.revision ?? 0});
};
