import {writeFile} from 'node:fs/promises';
import {
	deploymentNames, getArrivals, getFlows, getTargets, isAttained, runLoad, startDeployment, type CallRecord, type DeploymentName,
} from '@gentianlift/trial';
import type {Configuration, Settings} from '@gentianlift/types';
import {defineCommand} from 'citty';
import {renderChart, type ChartLine} from './chart.js';

const secondsPerStep = 3;
const millisecondsPerSecond = 1000;
const simulatedHour = 9;
const rulesTime = `0${simulatedHour}:00`;

const orders: Array<{order: Settings['order']; name: string; colour: string}> = [
	{order: 'policy', name: 'gentianlift', colour: '#0a7'},
	{order: 'least-outstanding', name: 'least outstanding', colour: '#36c'},
	{order: 'first-in-first-out', name: 'round robin', colour: '#c33'},
];

/** Returns the ratio of requests that met their targets, by the time step of their arrival; 1 for a step without arrivals. */
const getAttainmentRatios = (records: CallRecord[], configuration: Configuration, seconds: number): number[] =>
	Array.from({length: Math.ceil(seconds / secondsPerStep)}, (_, step) => {
		const arrived = records.filter(({at}) => Math.floor(at / (secondsPerStep * millisecondsPerSecond)) === step);
		const attained = arrived.filter(record => isAttained(record, getTargets(configuration, record.className, rulesTime)));
		return arrived.length === 0 ? 1 : attained.length / arrived.length;
	});

const measureOrder = async (name: DeploymentName, order: Settings['order'], {seconds, rate, seed}: {seconds: number; rate: number; seed: number}): Promise<number[]> => {
	const deployment = await startDeployment({deployment: name, hour: simulatedHour, settings: {order}});
	try {
		const arrivals = getArrivals({
			flows: getFlows(name), rate, seconds, seed,
		});
		const records = await runLoad({deployment, arrivals, seed});
		return getAttainmentRatios(records, deployment.configuration, seconds);
	} finally {
		await deployment.stop();
	}
};

/** Draws a chart of attainment over time for the policy and the baselines, all with the same arrivals. */
export const timeline = defineCommand({
	meta: {name: 'timeline', description: 'Attainment over time against the baselines, as a picture'},
	args: {
		deployment: {
			type: 'enum', options: [...deploymentNames], description: 'Deployment to run', default: 'kopi',
		},
		seconds: {type: 'string', description: 'Seconds in which requests arrive', default: '30'},
		rate: {type: 'string', description: 'Factor on the rate of arrivals', default: '1'},
		seed: {type: 'string', description: 'Seed of arrivals and answers', default: '1'},
		output: {type: 'string', description: 'SVG file to write', required: true},
	},
	async run({args}) {
		const lines: ChartLine[] = [];
		for (const {order, name, colour} of orders) {
			// eslint-disable-next-line no-await-in-loop -- Concurrent runs would compete for the processors.
			const ratios = await measureOrder(args.deployment, order, {seconds: Number(args.seconds), rate: Number(args.rate), seed: Number(args.seed)});
			console.log(`${name}: ${ratios.map(ratio => ratio.toFixed(2)).join(' ')}`);
			lines.push({name, colour, ratios});
		}

		await writeFile(args.output, renderChart({
			title: `${args.deployment}: requests within their targets, by arrival`, secondsPerStep, lines,
		}));
	},
});
