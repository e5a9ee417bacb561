import process from 'node:process';
import {defineCommand} from 'citty';
import type {Mechanism} from '@gentianlift/scheduler';
import {deploymentNames, type DeploymentName} from '@gentianlift/trial';
import {runOnce, type RunOptions, type RunResult} from './run.js';
import {formatErrors, formatTable, formatRunName} from './summary.js';

/** Sets of runs that can be selected. */
export const runSets = ['orders', 'hosts', 'faults', 'ablations'] as const;
/** One of `runSets`. */
export type RunSetName = typeof runSets[number];

const orders = ['policy', 'first-in-first-out', 'least-outstanding'] as const;
const ablatedMechanisms: readonly Mechanism[] = ['fairness', 'floor', 'prefix', 'straggler', 'admission', 'preemption', 'grants'];
const topTierClasses: Record<DeploymentName, string[]> = {kopi: ['quote', 'cut-order'], alfoldi: ['farmer-question', 'allocation-booking', 'shipment-status']};
const ablationLoad = 1.5;

/** Creates the runs of a set: `base` with the settings that the set varies. */
export const createRuns = (name: RunSetName, base: RunOptions, loads: readonly number[]): RunOptions[] => {
	switch (name) {
		case 'orders': {
			const topClassRuns = loads.map(load => ({...base, load, only: topTierClasses[base.deployment]}));
			return loads.flatMap((load, index) => [...orders.map(order => ({...base, load, order})), ...topClassRuns.slice(index, index + 1)]);
		}

		case 'hosts': {
			return loads.flatMap(load => [1, 7].map(hosts => ({...base, load, hosts})));
		}

		case 'faults': {
			return (['straggler-and-crash', 'flood'] as const).flatMap(faults => orders.map(order => ({
				...base, load: 1, order, faults,
			})));
		}

		case 'ablations': {
			return [[], ...ablatedMechanisms.map(mechanism => [mechanism])].map(without => ({...base, load: ablationLoad, without}));
		}
	}
};

const print = (line: string): void => {
	process.stdout.write(`${line}\n`);
};

const runAll = async (runs: readonly RunOptions[]): Promise<RunResult[]> => {
	const results: RunResult[] = [];
	for (const run of runs) {
		print(formatRunName({run}));
		// eslint-disable-next-line no-await-in-loop -- Runs share the processors, so they run one after another.
		const result = await runOnce(run);
		print(`${formatTable([result])}\n${formatErrors(result.records)}`);
		results.push(result);
	}

	return results;
};

/** Compares the scheduling policy with baselines under the same seed and load. */
export const policy = defineCommand({
	meta: {name: 'policy', description: 'Attainment, goodput and wasted work against baselines, by load'},
	args: {
		deployment: {
			type: 'enum', options: [...deploymentNames], description: 'Deployment', default: 'kopi',
		},
		set: {
			type: 'enum', options: [...runSets], description: 'What to run', default: 'orders',
		},
		loads: {type: 'string', description: 'Loads as multiples of capacity', default: '0.7,1,1.5,3'},
		seconds: {type: 'string', description: 'Seconds in which requests arrive', default: '20'},
		seed: {type: 'string', description: 'Seed of arrivals and answers', default: '1'},
		hosts: {type: 'string', description: 'Entry hosts', default: '7'},
	},
	async run({args}) {
		const baseRun: RunOptions = {
			deployment: args.deployment, load: 1, order: 'policy', hosts: Number(args.hosts), seconds: Number(args.seconds), seed: Number(args.seed), faults: 'none', without: [],
		};
		const results = await runAll(createRuns(args.set, baseRun, args.loads.split(',').map(Number)));
		print(`\n${formatTable(results)}`);
		process.exitCode = results.every(({hasStoppedCleanly}) => hasStoppedCleanly) ? 0 : 1;
	},
});
