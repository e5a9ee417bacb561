import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {createSystemClock} from '@gentianlift/clock';
import {createHostList, createKeyValue, createWeightStore} from '@gentianlift/fakes';
import {
	findPorts, getFleetSettings, isReady, publishConfiguration, startRouter, type RunningRouter,
} from '@gentianlift/trial';
import type {Settings} from '@gentianlift/types';
import {startScript, type RunningScript} from './child.js';
import {createBenchConfiguration} from './configuration.js';

/** Fake engines with one router process and one bare relay in front of them. */
export type TestSetup = {
	engines: string[];
	relay: string;
	router: RunningRouter;
	stop: () => Promise<void>;
};

/** Options of a test setup. */
export type TestSetupOptions = {
	engines: number;
	/** Milliseconds between two tokens of an engine. */
	step: number;
	slots: number;
	settings?: Partial<Settings>;
};

const portsPerRouter = 4;
const readyPollIntervalMs = 50;
const readyPollCount = 400;
/** Time for the router to reach a steady state after it is ready. */
const stabilizationTimeMs = 3000;

const parseAddress = ({firstLine}: RunningScript): string => firstLine.replace('listening ', '');

const startEngines = async ({engines, step, slots}: TestSetupOptions): Promise<RunningScript[]> =>
	Promise.all(Array.from({length: engines}, async () => startScript('fakes/dist/main.js', [
		'engine', '--slots', String(slots), '--step', String(step), '--stepPerRunning', '0', '--prefill', '1e7', '--cacheTokens', '1e12',
	])));

const waitUntilReady = async (router: RunningRouter): Promise<void> => {
	const clock = createSystemClock();
	/* eslint-disable no-await-in-loop -- Each poll waits for the answer to the previous one. */
	for (let attempt = 0; attempt < readyPollCount; attempt++) {
		if (await isReady(router.settings)) {
			return;
		}

		await clock.sleep(readyPollIntervalMs);
	}
	/* eslint-enable no-await-in-loop */

	throw new Error(`the router did not become ready; its log is ${router.logFile}`);
};

/** Starts a test setup. */
export const startTestSetup = async (options: TestSetupOptions): Promise<TestSetup> => {
	const clock = createSystemClock();
	const engines = await startEngines(options);
	const addresses = engines.map(engine => parseAddress(engine));
	const relay = await startScript('bench/dist/overhead/relay-main.js', [addresses.join(',')]);
	const [keyValue, hostList, weightStore] = await Promise.all([createKeyValue(), createHostList(), createWeightStore()]);
	publishConfiguration(keyValue, createBenchConfiguration(addresses, options.slots), clock.now());
	const [settings] = getFleetSettings({
		zones: ['zone-a'], keyValueUrl: keyValue.listener.url, hostListUrl: hostList.listener.url, weightStoreUrl: weightStore.listener.url, ports: await findPorts(portsPerRouter),
	}, options.settings ?? {});
	if (settings === undefined) {
		throw new Error('no settings for the router: the fleet is empty');
	}

	const folder = await mkdtemp(path.join(tmpdir(), 'gentianlift-bench-'));
	const router = await startRouter(settings, folder, clock);
	await waitUntilReady(router);
	await clock.sleep(stabilizationTimeMs);
	return {
		engines: addresses,
		relay: parseAddress(relay),
		router,
		async stop() {
			await router.stop();
			await Promise.all([...engines, relay].map(async child => child.stop()));
			await Promise.all([keyValue, hostList, weightStore].map(async fake => fake.close()));
			await rm(folder, {recursive: true, force: true});
		},
	};
};
