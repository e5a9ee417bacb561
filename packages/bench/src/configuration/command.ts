import {createRandom} from '@gentianlift/clock';
import type {Faults} from '@gentianlift/fakes';
import {startDeployment, type Deployment} from '@gentianlift/trial';
import type {Milliseconds} from '@gentianlift/types';
import {defineCommand} from 'citty';
import {measurePublication, type PublicationTimes} from './measure.js';

type Scenario = {name: string; faults: Faults};

const scenarios: Scenario[] = [
	{name: 'healthy', faults: {}},
	{name: 'slow by 1 s', faults: {latencyMs: 1000}},
	{name: 'all watches silent', faults: {silentWatch: true}},
];

const header = '| service | publications | accepted p50 ms | in force at last host p50 ms | max ms | after acceptance max ms | reads/s | watches/s |';
const separator = '| --- | --- | --- | --- | --- | --- | --- | --- |';
const maxGap: Milliseconds = 6000;
const millisecondsPerSecond = 1000;

const getMedian = (values: number[]): number => values.toSorted((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0;

const formatRow = (name: string, publications: PublicationTimes[], rates: {reads: number; watches: number}): string => {
	const inForceAfter = publications.map(publication => publication.last);
	const inForceAfterAcceptance = publications.map(publication => publication.last - publication.accepted);
	const cells = [
		name,
		publications.length,
		Math.round(getMedian(publications.map(({accepted}) => accepted))),
		Math.round(getMedian(inForceAfter)),
		Math.round(Math.max(...inForceAfter)),
		Math.round(Math.max(...inForceAfterAcceptance)),
		rates.reads.toFixed(1),
		rates.watches.toFixed(1),
	];
	return `| ${cells.join(' | ')} |`;
};

const runScenario = async (deployment: Deployment, {name, faults}: Scenario, {runs, seed}: {runs: number; seed: number}): Promise<string> => {
	const {clock, keyValue} = deployment;
	const random = createRandom(seed);
	Object.assign(keyValue.faults, faults);
	const before = {...keyValue.counts, at: clock.monotonic()};
	const publications: PublicationTimes[] = [];
	for (let run = 0; run < runs; run++) {
		// eslint-disable-next-line no-await-in-loop -- The random gap decouples publications from the periods of watches and polls.
		await clock.sleep(random.below(maxGap));
		// eslint-disable-next-line no-await-in-loop -- Publications run one after another.
		publications.push(await measurePublication(deployment, 2 + (run % 2)));
	}

	const elapsedSeconds = (clock.monotonic() - before.at) / millisecondsPerSecond;
	Object.assign(keyValue.faults, {latencyMs: 0, silentWatch: false});
	return formatRow(name, publications, {
		reads: (keyValue.counts.reads - before.reads) / elapsedSeconds,
		watches: (keyValue.counts.watches - before.watches) / elapsedSeconds,
	});
};

/** Measures the time from the publication of a configuration until it is in force at the last host. */
export const configuration = defineCommand({
	meta: {name: 'configuration', description: 'From publication to in force at the last of seven hosts'},
	args: {
		runs: {type: 'string', description: 'Publications in each state of the service', default: '20'},
		hosts: {type: 'string', description: 'Entry hosts', default: '7'},
		seed: {type: 'string', description: 'Seed of the gaps between publications', default: '1'},
	},
	async run({args}) {
		const runs = Number(args.runs);
		const deployment = await startDeployment({deployment: 'kopi', hosts: Number(args.hosts)});
		try {
			console.log(`${header}\n${separator}`);
			for (const [index, scenario] of scenarios.entries()) {
				// eslint-disable-next-line no-await-in-loop -- Scenarios run one after another.
				console.log(await runScenario(deployment, scenario, {runs, seed: Number(args.seed) + index}));
			}
		} finally {
			await deployment.stop();
		}
	},
});
