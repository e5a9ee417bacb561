import {defineCommand} from 'citty';
import {getTable} from '@gentianlift/trial';
import {getMedian} from './figures.js';
import {measureLatency, type Added, type LatencyRun} from './latency.js';
import {measureSlow, type SlowRun} from './memory.js';
import {startRig, type RigOptions, type Rig} from './rig.js';
import {measureEvents, measureRequests, type ThroughputRun} from './throughput.js';

const slots = 20_000;
const bytesPerMegabyte = 1_048_576;
const bytesPerKilobyte = 1024;

const withRig = async <Result>(options: RigOptions, run: (rig: Rig) => Promise<Result>): Promise<Result> => {
	const rig = await startRig(options);
	try {
		return await run(rig);
	} finally {
		await rig.stop();
	}
};

const repeat = async <Result>(runs: number, run: () => Promise<Result>): Promise<Result[]> => {
	const results: Result[] = [];
	for (let index = 0; index < runs; index++) {
		// eslint-disable-next-line no-await-in-loop -- Runs at once would disturb each other.
		results.push(await run());
	}

	return results;
};

const getAddedRow = (name: string, runs: Added[]): string[] => {
	const names = ['firstP50', 'firstP99', 'wholeP50', 'wholeP99'] as const;
	return [name, ...names.map(key => getMedian(runs.map(run => run[key])).toFixed(2))];
};

const printLatency = (streams: number, runs: LatencyRun[]): void => {
	const head = [`${streams} streams`, 'first p50', 'first p99', 'whole p50', 'whole p99'];
	const rows = [getAddedRow('relay', runs.map(({relay}) => relay)), getAddedRow('router', runs.map(({router}) => router))];
	console.log(`\nAdded milliseconds, median of ${runs.length} runs\n${getTable([head, ...rows])}`);
	console.log(`failures: ${runs.reduce((sum, {failures}) => sum + failures, 0)}`);
};

const printThroughput = (what: string, runs: ThroughputRun[]): void => {
	const relay = getMedian(runs.map(run => run.relay));
	const router = getMedian(runs.map(run => run.router));
	const failures = runs.reduce((sum, run) => sum + run.failures, 0);
	console.log(`\n${what} a second, median of ${runs.length} runs: relay ${relay.toFixed(0)}, router ${router.toFixed(0)}, ratio ${(router / relay).toFixed(2)}, failures ${failures}`);
};

const printSlow = (run: SlowRun): void => {
	console.log(`\n${run.readers} callers that read nothing and ${run.senders} that never finish their headers:`);
	console.log(`memory ${(run.bytesBefore / bytesPerMegabyte).toFixed(0)} MB before, ${(run.bytesAfter / bytesPerMegabyte).toFixed(0)} MB after`);
	console.log(`${(run.bytesPerReader / bytesPerKilobyte).toFixed(1)} kB per open stream, still serving: ${run.isServing}`);
};

const runLatency = async (runs: number): Promise<void> => {
	await withRig({engines: 1, step: 50, slots}, async rig => {
		printLatency(50, await repeat(runs, async () => measureLatency(rig, 50)));
		printLatency(500, await repeat(runs, async () => measureLatency(rig, 500)));
	});
};

const runThroughput = async (runs: number): Promise<void> => {
	await withRig({engines: 4, step: 1, slots}, async rig => {
		printThroughput('requests', await repeat(runs, async () => measureRequests(rig, 96)));
	});
	await withRig({engines: 4, step: 2, slots}, async rig => {
		printThroughput('events', await repeat(runs, async () => measureEvents(rig, 300)));
	});
};

const runSlow = async (): Promise<void> => {
	await withRig({engines: 2, step: 100, slots}, async rig => {
		printSlow(await measureSlow(rig, 5000, 5000));
	});
};

const parts = ['all', 'latency', 'throughput', 'slow'] as const;

/** Measures what the router adds to a call, against the same engine without it and against a bare relay. */
export const overhead = defineCommand({
	meta: {name: 'overhead', description: 'Latency, throughput and memory that the router adds'},
	args: {
		runs: {type: 'string', description: 'Runs of which the median is shown', default: '5'},
		part: {
			type: 'enum', options: [...parts], description: 'Part to measure', default: 'all',
		},
	},
	async run({args}) {
		const runs = Number(args.runs);
		const isWanted = (part: typeof parts[number]): boolean => args.part === 'all' || args.part === part;
		if (isWanted('latency')) {
			await runLatency(runs);
		}

		if (isWanted('throughput')) {
			await runThroughput(runs);
		}

		if (isWanted('slow')) {
			await runSlow();
		}
	},
});
