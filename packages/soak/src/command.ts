import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {defineCommand, type CommandDef} from 'citty';
import {createSystemClock} from '@gentianlift/clock';
import type {Deployment} from './deployment.js';
import {killAllHosts} from './host-process.js';
import {isKnownFailure, parseKnownFailure} from './known-failure.js';
import {regressionCases, type RegressionCase} from './kept-cases.js';
import {runSeed, type SeedRunOptions, type SeedRunReport} from './run-seed.js';
import {faultSets, type FaultSet} from './schedule.js';

/** A run of the soak that is still to be started. */
type SeedRun = Pick<SeedRunOptions, 'seed' | 'schedule'>;

/** Number of processes with consecutive ids that differ in the third octet. */
const thirdOctetCount = 200;
const firstSecondOctet = 20;
/** Second octets for the jobs of one process. */
const jobsPerProcess = 16;
const processBlockCount = 14;

/** Returns the first three octets of a loopback network that no other job of this process uses and that a concurrent soak is unlikely to use. */
const getNetwork = (job: number): string => {
	const block = Math.floor(process.pid / thirdOctetCount) % processBlockCount;
	return `127.${firstSecondOctet + (block * jobsPerProcess) + (job % jobsPerProcess)}.${1 + (process.pid % thirdOctetCount)}`;
};

const millisecondsPerSecond = 1000;
/** First seeds taken from the time of day are below this number. */
const drawnSeedLimit = 1_000_000;

/** Signals that end the soak, with their numbers. */
const endingSignals = {SIGHUP: 1, SIGINT: 2, SIGTERM: 15} as const;
/** What a shell adds to the number of the signal that ended a process. */
const signalStatus = 128;

/** Ends the hosts with the soak when a signal ends it. */
const endHostsOnSignals = (): void => {
	for (const [name, number] of Object.entries(endingSignals)) {
		process.once(name, () => {
			killAllHosts();
			process.stdout.write(`soak ended by ${name}\n`);
			process.exit(signalStatus + number);
		});
	}
};

const formatReport = ({
	seed, faults, calls, served, windows, violations, failures,
}: SeedRunReport): string => {
	const summary = `seed ${seed}: ${faults} faults, ${calls} calls, ${served} served, ${windows} windows, ${violations.length + failures.length} broken`;
	return [summary, ...failures.map(text => `  ${text}`), ...violations.map(({guarantee, attempt, detail}) => `  ${guarantee}: ${attempt}: ${detail}`)].join('\n');
};

const parseCount = (text: string, name: string): number => {
	const value = Number(text);
	if (!Number.isInteger(value) || value < 1) {
		throw new TypeError(`--${name} must be a whole number above 0, not ${text}`);
	}

	return value;
};

const parseFaultSet = (text: string): FaultSet => {
	const found = faultSets.find(name => name === text);
	if (found === undefined) {
		throw new TypeError(`--faults must be one of ${faultSets.join(', ')}, not ${text}`);
	}

	return found;
};

const findCase = (text: string): RegressionCase => {
	const found = regressionCases.find(({seed}) => seed === Number(text));
	if (found === undefined) {
		throw new TypeError(`--case must be one of ${regressionCases.map(({seed}) => seed).join(', ')}, not ${text}`);
	}

	return found;
};

const soakArguments = {
	seeds: {type: 'string', default: '10', description: 'How many seeds to play'},
	first: {type: 'string', description: 'First seed; drawn from the time of day if absent'},
	jobs: {type: 'string', default: '2', description: 'Seeds played at a time'},
	hosts: {type: 'string', default: '5', description: 'Hosts of each play'},
	upstreams: {type: 'string', default: '3', description: 'Upstreams of each service'},
	seconds: {type: 'string', default: '12', description: 'Time in which faults begin'},
	faults: {type: 'string', default: 'any', description: `Faults to draw: ${faultSets.join(' or ')}`},
	earlier: {type: 'string', description: 'Program of an earlier build, which every second host runs'},
	case: {type: 'string', description: 'Plays only the case with this seed of those that once failed'},
	kept: {type: 'boolean', default: false, description: 'Plays the cases that once failed before the seeds'},
	known: {type: 'string', description: 'SEED=GUARANTEE: a failure that is listed in KNOWN-RED.txt; it is printed, and the soak passes'},
	keep: {type: 'boolean', default: false, description: 'Keeps all logs, not only those of seeds that failed'},
} as const;

/** Creates the command that runs a soak of the deployment. */
export const getSoakCommand = (deployment: Deployment): CommandDef<typeof soakArguments> => defineCommand({
	meta: {name: 'soak', description: 'Plays drawn faults against the built program and checks what it promises'},
	args: soakArguments,
	async run({args}) {
		endHostsOnSignals();
		const clock = createSystemClock();
		const folder = mkdtempSync(join(tmpdir(), 'gentianlift-soak-'));
		const first = args.first === undefined ? clock.now() % drawnSeedLimit : parseCount(args.first, 'first');
		const seeds = Array.from({length: parseCount(args.seeds, 'seeds')}, (_, index): SeedRun => ({seed: first + index}));
		const pending = args.case === undefined ? [...(args.kept ? regressionCases : []), ...seeds] : [findCase(args.case)];
		const known = args.known === undefined ? undefined : parseKnownFailure(args.known);
		let failed = 0;
		const runPending = async (job: number): Promise<void> => {
			for (let next = pending.shift(); next !== undefined; next = pending.shift()) {
				// eslint-disable-next-line no-await-in-loop -- A job runs one seed at a time.
				const report = await runSeed({
					...next,
					deployment,
					clock,
					network: getNetwork(job),
					folder,
					hosts: parseCount(args.hosts, 'hosts'),
					upstreams: parseCount(args.upstreams, 'upstreams'),
					faultSet: parseFaultSet(args.faults),
					earlierProgram: args.earlier,
					faultPeriod: parseCount(args.seconds, 'seconds') * millisecondsPerSecond,
				});
				const hasFailed = report.violations.length + report.failures.length > 0;
				const isKnown = isKnownFailure(report, known);
				failed += hasFailed && !isKnown ? 1 : 0;
				process.stdout.write(`${formatReport(report)}${isKnown ? '\n  known to fail' : ''}\n`);
				if (!hasFailed && !args.keep) {
					rmSync(join(folder, `seed-${next.seed}`), {recursive: true});
				}
			}
		};

		await Promise.all(Array.from({length: parseCount(args.jobs, 'jobs')}, async (_, job) => runPending(job)));
		process.stdout.write(failed === 0 ? 'soak passed\n' : `soak failed: ${failed} seeds; logs in ${folder}\n`);
		// eslint-disable-next-line unicorn/no-process-exit -- What a seed leaves open must not hold up whoever waits for the verdict.
		process.exit(failed === 0 ? 0 : 1);
	},
});
