import {defineCommand} from 'citty';
import {
	getArrivals, getFlows, runLoad, startDeployment,
} from '@gentianlift/trial';
import type {Milliseconds} from '@gentianlift/types';
import {
	faults as allFaults, getPairs, singleCases, type Fault,
} from './faults.js';
import {getFaultImpact, type FaultImpact} from './fault-impact.js';

const injectedAt: Milliseconds = 8000;
const header = '| fault | sent | lost | cut | wrong | doubled | false not-run | unknown | retried | recovered s | failed attempts |';
const separator = '| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |';

const formatRow = (name: string, impact: FaultImpact): string => {
	const {
		sent, lost, cut, wrong, duplicated, falseNotRun, unknown, retried, recoveredAfter, errors,
	} = impact;
	const kinds = Object.entries(errors).map(([kind, count]) => `${kind} ${count}`).join(', ');
	const cells = [name, sent, lost, cut, wrong, duplicated, falseNotRun, unknown, retried, (recoveredAfter / 1000).toFixed(1), kinds];
	return `| ${cells.join(' | ')} |`;
};

const getCases = (only: string, isPaired: boolean): Fault[] => {
	const cases = isPaired ? getPairs() : [...singleCases, ...allFaults];
	return cases.filter(({name}) => name.includes(only));
};

const runCase = async ({inject, arrivalSeconds}: Fault, rate: number, seed: number): Promise<FaultImpact> => {
	const deployment = await startDeployment({deployment: 'kopi'});
	try {
		const arrivals = getArrivals({
			flows: getFlows(deployment.name), rate, seconds: arrivalSeconds, seed,
		});
		const [records] = await Promise.all([
			runLoad({
				deployment, arrivals, seed, retries: 4,
			}),
			deployment.clock.sleep(injectedAt).then(async () => inject(deployment)),
		]);
		const calls = [...deployment.services.values()].flatMap(service => service.calls);
		return getFaultImpact(records, calls, injectedAt);
	} finally {
		await deployment.stop();
	}
};

/** Injects faults under load into real router processes, one at a time or in pairs, and prints their effect on requests. */
export const faults = defineCommand({
	meta: {name: 'faults', description: 'What each fault costs under load, on real processes'},
	args: {
		pairs: {type: 'boolean', description: 'Two faults at once', default: false},
		only: {type: 'string', description: 'Part of the names of the cases to run', default: ''},
		rate: {type: 'string', description: 'Factor on the rate of arrivals', default: '0.5'},
		seed: {type: 'string', description: 'Seed of the load', default: '1'},
	},
	async run({args}) {
		console.log(`${header}\n${separator}`);
		for (const fault of getCases(args.only, args.pairs)) {
			// eslint-disable-next-line no-await-in-loop -- One deployment at a time.
			const impact = await runCase(fault, Number(args.rate), Number(args.seed));
			console.log(formatRow(fault.name, impact));
		}
	},
});
