import {defineCommand} from 'citty';
import {fitLine} from './measure.js';
import {
	measureAccounts, measureConfiguration, measureGrants, measureQuota, measureQueuedRequests, type CostSample,
} from './roles.js';

type Role = {name: string; unit: string; sizes: number[]; run: (size: number) => Promise<CostSample>};

const roles: Role[] = [
	{
		name: 'grants, asked and ended', unit: 'request', sizes: [2000, 8000, 32_000], run: measureGrants,
	},
	{
		name: 'grants, waiting', unit: 'waiting request', sizes: [250, 500, 1000], run: measureQueuedRequests,
	},
	{
		name: 'customers\' limits, one exchange', unit: 'customer', sizes: [105, 420, 840], run: measureQuota,
	},
	{
		name: 'configuration, parsed and checked', unit: 'engine (with half a customer)', sizes: [170, 680, 1700], run: measureConfiguration,
	},
	{
		name: 'accounts', unit: 'request remembered', sizes: [1000, 4000, 10_000], run: measureAccounts,
	},
];

const microsecondsPerMillisecond = 1000;

const getSlope = (samples: CostSample[], getValue: (sample: CostSample) => number): number =>
	fitLine(samples.map(sample => ({size: sample.size, value: getValue(sample)}))).slope;

const printRole = async ({name, unit, sizes, run}: Role): Promise<void> => {
	// Runs once without recording, so that compilation doesn't count.
	await run(sizes[0] ?? 1);
	const samples: CostSample[] = [];
	for (const size of sizes) {
		// eslint-disable-next-line no-await-in-loop -- Concurrent measurements would interfere with each other.
		const sample = await run(size);
		samples.push(sample);
		console.log(`| ${name} | ${size} | ${sample.cost.processor.toFixed(1)} | ${Math.round(sample.cost.heap / 1024)} | ${sample.messages} | ${sample.bytes} |`);
	}

	const processor = getSlope(samples, ({cost}) => cost.processor) * microsecondsPerMillisecond;
	const heap = getSlope(samples, ({cost}) => cost.heap);
	const messages = getSlope(samples, sample => sample.messages);
	const bytes = getSlope(samples, sample => sample.bytes);
	console.log(`| **slope per ${unit}** | | ${processor.toFixed(1)} µs | ${Math.round(heap)} B | ${messages.toFixed(2)} | ${bytes.toFixed(0)} |`);
};

/** Measures the cost of each role of a host at three sizes, and prints the slopes that docs/CAPACITY.md uses. */
export const slopes = defineCommand({
	meta: {name: 'slopes', description: 'Cost of each role at three sizes, and its slope'},
	async run() {
		console.log('| role | size | processor ms | heap KiB | messages | bytes |');
		console.log('| --- | --- | --- | --- | --- | --- |');
		for (const role of roles) {
			// eslint-disable-next-line no-await-in-loop -- Concurrent measurements would interfere with each other.
			await printRole(role);
		}
	},
});
