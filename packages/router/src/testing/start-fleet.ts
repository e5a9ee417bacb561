import {createSystemClock} from '@gentianlift/clock';
import {parseSettings} from '@gentianlift/config';
import {
	countPorts, findPorts, getFleetSettings, getTrialConfiguration, publishConfiguration, readExample, startFakes, type Fakes, type SettingsDocument,
} from '@gentianlift/trial';
import type {Address, Configuration, Settings} from '@gentianlift/types';
import {startHost, type RunningHost} from '../host/start-host.js';

/** Host that runs in the process of the test. */
export type TestHost = RunningHost & {
	settings: Settings;
	/** Resolves with the exit status once the host has ended. */
	ended: Promise<number>;
};

/** Fake platform services and fake upstreams, with the settings of hosts that aren't started yet. */
export type TestPlatform = {
	fakes: Fakes;
	configuration: Configuration;
	settings: SettingsDocument[];
	/** API key of a customer that may use all classes of the Kopi example. */
	key: string;
	/** API key of another customer. */
	otherKey: string;
};

/** Fake platform services, fake upstreams and hosts that run in the process of the test. */
export type TestFleet = TestPlatform & {
	hosts: TestHost[];
	close: () => Promise<void>;
};

/** Parses the settings of a host, with their defaults. */
export const parseHostSettings = (document: SettingsDocument): Settings => {
	const parsed = parseSettings(document);
	if (parsed.kind === 'invalid') {
		throw new TypeError(JSON.stringify(parsed.faults));
	}

	return parsed.value;
};

const start = async (settings: Settings): Promise<TestHost> => {
	const exitListeners: Array<(status: number) => void> = [];
	const ended = new Promise<number>(resolve => {
		exitListeners.push(resolve);
	});
	const host = await startHost(settings, status => {
		exitListeners[0]?.(status);
	});
	await host.started;
	return {...host, settings, ended};
};

/** Changes a configuration before it is published. */
type Adaptation = (configuration: Configuration) => Configuration;

/** Starts the fakes of the Kopi example, and creates the settings of `count` hosts; the `extra` settings apply to each of them. Services at `serviceAddresses` take the place of the first fake ones. */
export const startPlatform = async (count: number, extra: Partial<Settings> = {}, serviceAddresses: readonly Address[] = [], adapt: Adaptation = unchanged => unchanged): Promise<TestPlatform> => {
	const {configuration: example, keys} = await readExample('kopi');
	const fakes = await startFakes(example.inventory, {stepTime: 5, meanTokens: 20, eventLossProbability: 0});
	const services = [...fakes.services.keys()];
	const replaced = serviceAddresses.map((address, index) => [services[index]!, address] as const);
	const configuration = adapt(getTrialConfiguration(example, new Map([...fakes.addresses, ...replaced])));
	publishConfiguration(fakes.keyValue, configuration, createSystemClock().now());
	const settings = getFleetSettings({
		zones: ['attica-a', 'attica-b', 'attica-c'],
		keyValueUrl: fakes.keyValue.listener.url,
		hostListUrl: fakes.hostList.listener.url,
		weightStoreUrl: fakes.weightStore.listener.url,
		ports: await findPorts(countPorts(count)),
	}, {addressTimeToLive: 100, logLevel: 'error', ...extra});
	return {
		fakes,
		configuration,
		settings,
		key: keys.get('faros-steel') ?? '',
		otherKey: [...keys].find(([customer]) => customer !== 'faros-steel')?.[1] ?? '',
	};
};

/** Starts the Kopi example with `count` hosts; the `extra` settings apply to each of them. Services at `serviceAddresses` take the place of the first fake ones. */
export const startFleet = async (count: number, extra: Partial<Settings> = {}, serviceAddresses: readonly Address[] = [], adapt?: Adaptation): Promise<TestFleet> => {
	const platform = await startPlatform(count, extra, serviceAddresses, adapt);
	const hosts = await Promise.all(platform.settings.map(async document => start(parseHostSettings(document))));
	return {
		...platform,
		hosts,
		async close() {
			await Promise.all(hosts.map(async ({settings, ended}) => {
				await fetch(`http://${settings.operatorAddress}/operator/drain`, {method: 'POST', body: '{"force":true}'}).catch(() => undefined);
				await ended;
			}));
			await platform.fakes.close();
		},
	};
};
