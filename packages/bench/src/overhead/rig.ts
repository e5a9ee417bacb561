import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {createSystemClock} from '@gentianlift/clock';
import {createHostList, createKeyValue, createWeightStore} from '@gentianlift/fakes';
import {
	findPorts, getFleetSettings, isReady, publishConfiguration, startRouter, type RunningRouter,
} from '@gentianlift/trial';
import type {Settings} from '@gentianlift/types';
import {startChild, type Child} from './child.js';
import {getBenchConfiguration} from './configuration.js';

/** Engines, one router process and one bare relay before the same engines. */
export type Rig = {
	engines: string[];
	relay: string;
	router: RunningRouter;
	stop: () => Promise<void>;
};

/** Shape of the engines. */
export type RigOptions = {
	engines: number;
	/** Milliseconds between two tokens. */
	step: number;
	slots: number;
	settings?: Partial<Settings>;
};

const portsPerRouter = 4;
const readyInterval = 50;
const readyAttempts = 400;
/** Time in which the router finds its place after it is ready. */
const settleTime = 3000;

const getAddress = ({firstLine}: Child): string => firstLine.replace('listening ', '');

const startEngines = async ({engines, step, slots}: RigOptions): Promise<Child[]> =>
	Promise.all(Array.from({length: engines}, async () => startChild('fakes/dist/main.js', [
		'engine', '--slots', String(slots), '--step', String(step), '--stepPerRunning', '0', '--prefill', '1e7', '--cacheTokens', '1e12',
	])));

const waitUntilReady = async (router: RunningRouter): Promise<void> => {
	const clock = createSystemClock();
	/* eslint-disable no-await-in-loop -- Each question waits for the answer to the last. */
	for (let attempt = 0; attempt < readyAttempts; attempt++) {
		if (await isReady(router.settings)) {
			return;
		}

		await clock.sleep(readyInterval);
	}
	/* eslint-enable no-await-in-loop */

	throw new Error(`the router did not become ready; its log is ${router.logFile}`);
};

/** Starts a rig. */
export const startRig = async (options: RigOptions): Promise<Rig> => {
	const clock = createSystemClock();
	const engines = await startEngines(options);
	const addresses = engines.map(engine => getAddress(engine));
	const relay = await startChild('bench/dist/overhead/relay-main.js', [addresses.join(',')]);
	const [keyValue, hostList, weightStore] = await Promise.all([createKeyValue(), createHostList(), createWeightStore()]);
	publishConfiguration(keyValue, getBenchConfiguration(addresses, options.slots), clock.now());
	const [settings] = getFleetSettings({
		zones: ['zone-a'], keyValueUrl: keyValue.listener.url, hostListUrl: hostList.listener.url, weightStoreUrl: weightStore.listener.url, ports: await findPorts(portsPerRouter),
	}, options.settings ?? {});
	if (settings === undefined) {
		throw new Error('there are no ports for the router');
	}

	const folder = await mkdtemp(path.join(tmpdir(), 'gentianlift-bench-'));
	const router = await startRouter(settings, folder, clock);
	await waitUntilReady(router);
	await clock.sleep(settleTime);
	return {
		engines: addresses,
		relay: getAddress(relay),
		router,
		async stop() {
			await router.stop();
			await Promise.all([...engines, relay].map(async child => child.stop()));
			await Promise.all([keyValue, hostList, weightStore].map(async fake => fake.close()));
			await rm(folder, {recursive: true, force: true});
		},
	};
};
