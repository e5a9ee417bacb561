import {defineCommand} from 'citty';
import {getTable} from '@gentianlift/trial';
import {getMedian} from './figures.js';
import {measureLatency, type AddedLatency, type LatencyMeasurement} from './latency.js';
import {measureSlowCallers, type SlowCallerMeasurement} from './memory.js';
import {startTestSetup, type TestSetupOptions, type TestSetup} from './rig.js';
import {measureEvents, measureRequests, type ThroughputMeasurement} from './throughput.js';

const slots = 20_000;
const bytesPerMegabyte = 1_048_576;
const bytesPerKilobyte = 1024;

const withTestSetup = async <Result>(options: TestSetupOptions, run: (setup: TestSetup) => Promise<Result>): Promise<Result> => {
	const setup = await startTestSetup(options);
	try {
		return await run(setup);
	} finally {
		await setup.stop();
	}
};

const repeatRuns = async <Result>(runs: number, run: () => Promise<Result>): Promise<Result[]> => {
	const results: Result[] = [];
	for (let index = 0; index < runs; index++) {
		// eslint-disable-next-line no-await-in-loop -- Concurrent runs would interfere with each other.
		results.push(await run());
	}

	return results;
};

const formatAddedRow = (name: string, runs: AddedLatency[]): string[] => {
	const names = ['firstP50', 'firstP99', 'wholeP50', 'wholeP99'] as const;
	return [name, ...names.map(key => getMedian(runs.map(run => run[key])).toFixed(2))];
};

const printLatency = (streams: number, runs: LatencyMeasurement[]): void => {
	const head = [`${streams} streams`, 'first p50', 'first p99', 'whole p50', 'whole p99'];
	const rows = [formatAddedRow('relay', runs.map(({relay}) => relay)), formatAddedRow('router', runs.map(({router}) => router))];
	console.log(`\nAdded milliseconds, median of ${runs.length} runs\n${getTable([head, ...rows])}`);
	console.log(`failures: ${runs.reduce((sum, {failures}) => sum + failures, 0)}`);
};

const printThroughput = (what: string, runs: ThroughputMeasurement[]): void => {
	const relay = getMedian(runs.map(run => run.relay));
	const router = getMedian(runs.map(run => run.router));
	const failures = runs.reduce((sum, run) => sum + run.failures, 0);
	console.log(`\n${what} a second, median of ${runs.length} runs: relay ${relay.toFixed(0)}, router ${router.toFixed(0)}, ratio ${(router / relay).toFixed(2)}, failures ${failures}`);
};

const printSlowCallers = (run: SlowCallerMeasurement): void => {
	console.log(`\n${run.readers} callers that read nothing and ${run.senders} that never finish their headers:`);
	console.log(`memory ${(run.bytesBefore / bytesPerMegabyte).toFixed(0)} MB before, ${(run.bytesAfter / bytesPerMegabyte).toFixed(0)} MB after`);
	console.log(`${(run.bytesPerReader / bytesPerKilobyte).toFixed(1)} kB per open stream, still serving: ${run.isServing}`);
};

const runLatency = async (runs: number): Promise<void> => {
	await withTestSetup({engines: 1, step: 50, slots}, async setup => {
		printLatency(50, await repeatRuns(runs, async () => measureLatency(setup, 50)));
		printLatency(500, await repeatRuns(runs, async () => measureLatency(setup, 500)));
	});
};

const runThroughput = async (runs: number): Promise<void> => {
	await withTestSetup({engines: 4, step: 1, slots}, async setup => {
		printThroughput('requests', await repeatRuns(runs, async () => measureRequests(setup, 96)));
	});
	await withTestSetup({engines: 4, step: 2, slots}, async setup => {
		printThroughput('events', await repeatRuns(runs, async () => measureEvents(setup, 300)));
	});
};

const runSlowCallers = async (): Promise<void> => {
	await withTestSetup({engines: 2, step: 100, slots}, async setup => {
		printSlowCallers(await measureSlowCallers(setup, 5000, 5000));
	});
};

const parts = ['all', 'latency', 'throughput', 'slow'] as const;

/** Measures the overhead of the router, compared with calls straight to the engine and with calls through a bare relay. */
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
		const isSelected = (part: typeof parts[number]): boolean => args.part === 'all' || args.part === part;
		if (isSelected('latency')) {
			await runLatency(runs);
		}

		if (isSelected('throughput')) {
			await runThroughput(runs);
		}

		if (isSelected('slow')) {
			await runSlowCallers();
		}
	},
});
