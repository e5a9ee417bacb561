import {defineCommand} from 'citty';

/** Measures what the router adds to a call, against the same fake without it. */
export const overhead = defineCommand({
	meta: {name: 'overhead', description: 'Latency, throughput and memory that the router adds'},
	args: {
		runs: {type: 'string', description: 'Runs of which the median is shown', default: '5'},
	},
	async run({args}) {
		console.log(`runs ${args.runs}`);
	},
});
