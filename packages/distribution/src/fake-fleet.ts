import {createManualClock, createRandom, type Clock} from '@gentianlift/clock';
import type {Parsed} from '@gentianlift/config';
import {createMetrics} from '@gentianlift/metrics';
import {createMemoryKeyValue, type MemoryKeyValue} from '@gentianlift/platform';
import type {
	Configuration, ConfigurationVersion, KeyValueService, Member, PeerCalls,
} from '@gentianlift/types';
import {
	createConfigurationFollower, currentKey, publishConfiguration, type ConfigurationFollower, type PublishOutcome,
} from './index.js';

/** Creates the watch of a host's service in place of the real one. */
export type WatchFactory = (clock: Clock) => KeyValueService['watch'];
/** A host of a fake fleet; one that is cut reaches nothing. */
export type Host = {follower: ConfigurationFollower; isCut: boolean; metrics: ReturnType<typeof createMetrics>};

const parse = (document: unknown): Parsed<Configuration> =>
	document === 'bad' ? {kind: 'invalid', faults: []} : {kind: 'valid', value: document as Configuration};

const createMember = (host: string, incarnation: number, configurationVersion: number): Member => ({
	host, incarnation, zone: 'a', callerAddress: '', peerAddress: '', gossipAddress: '', state: 'alive', configurationVersion, load: 0,
});

const rumourInterval = 200;
const publishTime = 9000;

const createParts = (size: number, seed: number) => {
	const clock = createManualClock();
	const random = createRandom(seed);
	return {
		clock,
		random,
		service: createMemoryKeyValue({clock, random}),
		hosts: new Map<string, Host>(),
		names: Array.from({length: size}, (_, index) => `h${index}`),
		/** Versions that came into force, for each start of a host. */
		applied: [] as number[][],
		/** Version numbers that membership messages tell. */
		heard: new Map<string, number>(),
	};
};

type Parts = ReturnType<typeof createParts>;

const getVersionOf = ({hosts}: Parts, name: string): number => hosts.get(name)?.follower.getCurrent()?.version ?? 0;

const createPeerCalls = ({clock, random, hosts}: Parts, self: string): Pick<PeerCalls, 'readConfiguration'> => ({
	async readConfiguration(to, message) {
		const peer = hosts.get(to);
		await clock.sleep(1 + random.below(20));
		if (peer === undefined || peer.isCut || hosts.get(self)?.isCut) {
			return {kind: 'unreachable', reason: 'cut'};
		}

		return {kind: 'answered', answer: await peer.follower.readConfiguration(self, message)};
	},
});

const createServiceCalls = ({clock, hosts, service}: Parts, name: string, createWatch?: WatchFactory): Pick<KeyValueService, 'read' | 'watch'> => {
	const isCut = (): boolean => hosts.get(name)?.isCut ?? false;
	const watch = createWatch?.(clock) ?? service.watch;
	return {
		read: async key => isCut() ? {kind: 'unavailable', reason: 'cut'} : service.read(key),
		async watch(key, after, limit) {
			const outcome = isCut() ? undefined : await watch(key, after, limit);
			return outcome === undefined || isCut() ? {kind: 'unavailable', reason: 'cut'} : outcome;
		},
	};
};

const startHost = (parts: Parts, name: string, createWatch?: WatchFactory): Host => {
	const {clock, random, hosts, names, applied, heard} = parts;
	const metrics = createMetrics();
	const follower = createConfigurationFollower({
		clock,
		random,
		metrics,
		keyValue: createServiceCalls(parts, name, createWatch),
		peers: createPeerCalls(parts, name),
		getMembers: () => names.map(host => createMember(host, 1, heard.get(host) ?? 0)),
		self: name,
		parse,
		getOwners: (_key, count) => names.slice(0, count),
	});
	const host: Host = {follower, isCut: false, metrics};
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
const spreadRumours = (parts: Parts): void => {
	const {hosts, names, heard} = parts;
	for (const name of names) {
		heard.set(name, Math.max(heard.get(name) ?? 0, getVersionOf(parts, name)));
	}

	for (const [to, host] of hosts) {
		for (const name of names.filter(other => other !== to && !host.isCut)) {
			host.follower.applyRumour(name, heard.get(name) ?? 0);
		}
	}
};

const publish = async ({clock, random, service}: Parts, configuration: unknown, base: number): Promise<PublishOutcome> => {
	const outcome = publishConfiguration({clock, keyValue: service, parse}, {
		document: configuration, base, token: `${String(configuration)}-${base}-${clock.now()}-${random.next()}`, author: 'test', note: '',
	});
	await clock.advance(publishTime);
	return outcome;
};

const createFleet = (size: number, seed = 1, createWatch?: WatchFactory) => {
	const parts = createParts(size, seed);
	const tick = (): void => {
		spreadRumours(parts);
		parts.clock.after(rumourInterval, tick);
	};

	parts.clock.after(rumourInterval, tick);
	return {
		...parts,
		startHost: (name: string): Host => startHost(parts, name, createWatch),
		publish: async (configuration: unknown, base: number) => publish(parts, configuration, base),
		getVersions: () => parts.names.map(name => getVersionOf(parts, name)),
	};
};

/** Creates a fleet on a manual clock whose hosts have the first version in force. */
export const startFleet = async (size: number, seed?: number, createWatch?: WatchFactory) => {
	const fleet = createFleet(size, seed, createWatch);
	await fleet.publish('first', 0);
	for (const name of fleet.names) {
		fleet.startHost(name);
	}

	await fleet.clock.advance(1000);
	return fleet;
};

/** A fleet on a manual clock. */
export type Fleet = Awaited<ReturnType<typeof startFleet>>;

/** Gets the number of the newest accepted version. */
export const getAccepted = ({service}: Fleet): number => (JSON.parse(service.peek(currentKey)!.value) as ConfigurationVersion).version;

/** Writes a version into the service as a publisher does. */
export const put = async (service: MemoryKeyValue, version: number, configuration: unknown) => {
	const value = JSON.stringify({
		version, token: `t${version}`, author: '', acceptedAt: 0, note: '', configuration,
	});
	await service.compareAndSwap({key: currentKey, value, expected: service.peek(currentKey)?.revision ?? 0});
};
