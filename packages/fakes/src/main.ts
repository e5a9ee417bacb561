import process from 'node:process';
import {defineCommand, runMain} from 'citty';
import {createFakeEngine} from './engine/index.js';
import {createFakeHostList} from './host-list.js';
import {createFakeKeyValue} from './key-value/index.js';
import type {Listener} from './listener.js';
import {createFakeService} from './service.js';
import {createFakeWeightStore} from './weight-store.js';

type RunningFake = {listener: Listener; close: () => Promise<void>};

const port = {type: 'string', description: 'Port to listen on; 0 lets the system choose', default: '0'} as const;

/** Prints the fake's address, which the parent process waits for, and closes the fake on SIGTERM. */
const runUntilTerminated = async ({listener, close}: RunningFake): Promise<void> => {
	process.stdout.write(`listening ${listener.address}\n`);
	process.once('SIGTERM', () => {
		void close();
	});
};

const splitList = (text: string): string[] => text.split(',').filter(item => item !== '');

const engine = defineCommand({
	meta: {name: 'engine', description: 'Model engine'},
	args: {
		port,
		models: {type: 'string', description: 'Loaded models, separated by commas', default: 'chat'},
		adapters: {type: 'string', description: 'Loaded adapters, separated by commas', default: ''},
		slots: {type: 'string', description: 'Generations that run at once', default: '16'},
		step: {type: 'string', description: 'Milliseconds of one token in an empty batch', default: '20'},
		stepPerRunning: {type: 'string', description: 'Milliseconds that each running generation adds', default: '0.5'},
		prefill: {type: 'string', description: 'Prompt tokens a second', default: '8000'},
		cacheTokens: {type: 'string', description: 'Tokens of running generations that the KV cache holds', default: '200000'},
		fencing: {
			type: 'enum', options: ['checked', 'ignored'], description: 'Whether old fencing numbers are refused', default: 'checked',
		},
		weightStore: {type: 'string', description: 'URL of the weight store', default: ''},
		timeFactor: {type: 'string', description: 'Speed of the engine against the clock', default: '1'},
		seed: {type: 'string', description: 'Seed of random choices', default: '1'},
	},
	run: async ({args}) => runUntilTerminated(await createFakeEngine({
		port: Number(args.port),
		models: splitList(args.models),
		adapters: splitList(args.adapters),
		slots: Number(args.slots),
		stepTime: Number(args.step),
		stepTimePerRunning: Number(args.stepPerRunning),
		prefillTokensPerSecond: Number(args.prefill),
		cacheTokens: Number(args.cacheTokens),
		fencing: args.fencing,
		weightStoreUrl: args.weightStore === '' ? undefined : args.weightStore,
		timeFactor: Number(args.timeFactor),
		seed: Number(args.seed),
	})),
});

const service = defineCommand({
	meta: {name: 'service', description: 'Application service'},
	args: {
		port,
		time: {type: 'string', description: 'Milliseconds of one call', default: '80'},
		slots: {type: 'string', description: 'Calls at once', default: '8'},
	},
	run: async ({args}) => runUntilTerminated(await createFakeService({
		port: Number(args.port), serviceTime: Number(args.time), slots: Number(args.slots),
	})),
});

const keyValue = defineCommand({
	meta: {name: 'key-value', description: 'Key-value service'},
	args: {
		port,
		writes: {type: 'string', description: 'Writes a second', default: '400'},
		reads: {type: 'string', description: 'Reads a second', default: '2000'},
	},
	run: async ({args}) => runUntilTerminated(await createFakeKeyValue({
		port: Number(args.port), writesPerSecond: Number(args.writes), readsPerSecond: Number(args.reads),
	})),
});

const hostList = defineCommand({
	meta: {name: 'host-list', description: 'Host list'},
	args: {port, lag: {type: 'string', description: 'Milliseconds until a change is shown', default: '1000'}},
	run: async ({args}) => runUntilTerminated(await createFakeHostList({port: Number(args.port), changeDelay: Number(args.lag)})),
});

const weightStore = defineCommand({
	meta: {name: 'weight-store', description: 'Weight store'},
	args: {port, rate: {type: 'string', description: 'Bytes a second that all loads share', default: '2000000000'}},
	run: async ({args}) => runUntilTerminated(await createFakeWeightStore({port: Number(args.port), bytesPerSecond: Number(args.rate)})),
});

const main = defineCommand({
	meta: {name: 'fakes', description: 'Stand-ins of the systems outside, each on a loopback port'},
	subCommands: {
		engine, service, 'key-value': keyValue, 'host-list': hostList, 'weight-store': weightStore,
	},
});

await runMain(main);
