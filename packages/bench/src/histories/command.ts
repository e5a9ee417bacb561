import process from 'node:process';
import {defineCommand} from 'citty';
import {
	mergeResults, checkHistory, checkMixedHistory, type GuaranteeResult,
} from './checker.js';
import {runOnProcesses} from './processes.js';
import {runSchedule} from './schedule.js';
import {seededFaults, type SeededFault} from './simulation.js';

const maxShownViolations = 3;

const formatResult = ({name, checked, violations}: GuaranteeResult): string[] => [
	`${name}: ${checked} checked, ${violations.length} violations`,
	...violations.slice(0, maxShownViolations).map(text => `  ${text}`),
];

const isSeededFault = (text: string): text is SeededFault => (seededFaults as readonly string[]).includes(text);

/** Runs concurrent bookings under faults, simulated in one process or on router processes, and checks their histories against the guarantees. */
export const histories = defineCommand({
	meta: {name: 'histories', description: 'Histories of concurrent bookings under seeded faults, checked against the promises'},
	args: {
		schedules: {type: 'string', description: 'Schedules to run', default: '500'},
		seed: {type: 'string', description: 'Seed of the first schedule; the others follow', default: '1'},
		processes: {type: 'boolean', description: 'Run each schedule as a round of bookings over router processes', default: false},
		hosts: {type: 'string', description: 'Router processes', default: '5'},
		fault: {type: 'string', description: `Fault put into the system on purpose: ${seededFaults.join(', ')}`, default: 'none'},
	},
	async run({args}) {
		if (!isSeededFault(args.fault)) {
			throw new TypeError(`unknown fault ${args.fault}`);
		}

		if (args.processes) {
			const history = await runOnProcesses({rounds: Number(args.schedules), seed: Number(args.seed), hosts: Number(args.hosts)});
			const results = checkMixedHistory(history);
			console.log(results.flatMap(result => formatResult(result)).join('\n'));
			process.exitCode = results.some(({violations}) => violations.length > 0) ? 1 : 0;
			return;
		}

		const scheduleResults: GuaranteeResult[][] = [];
		const failedSeeds: number[] = [];
		for (let index = 0; index < Number(args.schedules); index++) {
			const seed = Number(args.seed) + index;
			// eslint-disable-next-line no-await-in-loop -- Schedules run one after another.
			const results = checkHistory(await runSchedule(seed, args.fault));
			scheduleResults.push(results);
			if (results.some(({violations}) => violations.length > 0)) {
				failedSeeds.push(seed);
			}
		}

		console.log(mergeResults(scheduleResults).flatMap(result => formatResult(result)).join('\n'));
		console.log(failedSeeds.length === 0 ? 'no seed failed' : `failed seeds: ${failedSeeds.join(', ')}`);
		console.log(`${scheduleResults.length - failedSeeds.length} passed, ${failedSeeds.length} failed`);
		process.exitCode = failedSeeds.length === 0 ? 0 : 1;
	},
});
