import process from 'node:process';
import {defineCommand} from 'citty';
import {deploymentNames, type DeploymentName} from '@gentianlift/trial';
import {runOnce, type Run, type RunResult} from './run.js';
import {getErrors, getMarkdown, getRunName} from './summary.js';

/** What is run, by name of the set. */
export const sets = ['orders', 'hosts', 'faults', 'ablations'] as const;
/** One of `sets`. */
export type SetName = typeof sets[number];

const orders = ['policy', 'first-in-first-out', 'least-outstanding'] as const;
const mechanisms = ['fairness', 'floor', 'prefix', 'straggler', 'admission', 'preemption', 'grants'];
const topClasses: Record<DeploymentName, string[]> = {kopi: ['quote', 'cut-order'], alfoldi: ['farmer-question', 'allocation-booking', 'shipment-status']};
const ablationLoad = 1.5;

/** Gets the runs of a set. */
export const getRuns = (name: SetName, base: Run, loads: readonly number[]): Run[] => {
	switch (name) {
		case 'orders': {
			const alone = loads.map(load => ({...base, load, only: topClasses[base.deployment]}));
			return loads.flatMap((load, index) => [...orders.map(order => ({...base, load, order})), ...alone.slice(index, index + 1)]);
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
			return [[], ...mechanisms.map(mechanism => [mechanism])].map(without => ({...base, load: ablationLoad, without}));
		}
	}
};

const print = (line: string): void => {
	process.stdout.write(`${line}\n`);
};

const runAll = async (runs: readonly Run[]): Promise<RunResult[]> => {
	const results: RunResult[] = [];
	for (const run of runs) {
		print(getRunName({run}));
		// eslint-disable-next-line no-await-in-loop -- Runs share one machine, so they come one after another.
		const result = await runOnce(run);
		print(`${getMarkdown([result])}\n${getErrors(result.records)}`);
		results.push(result);
	}

	return results;
};

/** Measures the order of work against baselines, with the same seed and load. */
export const policy = defineCommand({
	meta: {name: 'policy', description: 'Attainment, goodput and wasted work against baselines, by load'},
	args: {
		deployment: {
			type: 'enum', options: [...deploymentNames], description: 'Deployment', default: 'kopi',
		},
		set: {
			type: 'enum', options: [...sets], description: 'What to run', default: 'orders',
		},
		loads: {type: 'string', description: 'Loads as multiples of capacity', default: '0.7,1,1.5,3'},
		seconds: {type: 'string', description: 'Seconds in which requests arrive', default: '20'},
		seed: {type: 'string', description: 'Seed of arrivals and answers', default: '1'},
		hosts: {type: 'string', description: 'Entry hosts', default: '7'},
	},
	async run({args}) {
		const base: Run = {
			deployment: args.deployment, load: 1, order: 'policy', hosts: Number(args.hosts), seconds: Number(args.seconds), seed: Number(args.seed), faults: 'none', without: [],
		};
		const results = await runAll(getRuns(args.set, base, args.loads.split(',').map(Number)));
		print(`\n${getMarkdown(results)}`);
		process.exitCode = results.every(({hasStopped}) => hasStopped) ? 0 : 1;
	},
});
