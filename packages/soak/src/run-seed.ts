import {mkdirSync} from 'node:fs';
import {join} from 'node:path';
import {createRandom, type Clock} from '@gentianlift/clock';
import type {Milliseconds} from '@gentianlift/types';
import type {Callers} from './deployment.js';
import {
	startFleet, type Fleet, type FleetSettings, type SoakHost,
} from './fleet.js';
import {countReportedWindows} from './duty-guarantees.js';
import {createInjector, type Injector} from './injector.js';
import {findViolations, type Violation, type Observations} from './guarantees.js';
import {drawSchedule, type FaultSet, type ScheduledFault} from './schedule.js';
import {startTraffic} from './traffic.js';

/** Options of one run of the soak. */
export type SeedRunOptions = FleetSettings & {
	clock: Clock;
	/** Seed of the faults and the traffic. */
	seed: number;
	/** Time from the start of the traffic within which faults begin. */
	faultPeriod: Milliseconds;
	faultSet: FaultSet;
	/** Faults to inject instead of those drawn from the seed. */
	schedule?: ScheduledFault[];
};

/** Result of one run of the soak. */
export type SeedRunReport = {
	seed: number;
	/** Number of faults in the schedule. */
	faults: number;
	/** Number of requests that callers sent. */
	calls: number;
	/** Number of requests that were answered with status 200 and the right body. */
	served: number;
	/** Number of windows of which a usage report was accepted. */
	windows: number;
	violations: Violation[];
	/** Other failures: processes that exited unexpectedly or too late, hosts that didn't recover. */
	failures: string[];
};

/** Time within which each host must serve once all faults have ended. */
const recoveryTimeout: Milliseconds = 12_000;
const recoveryCheckInterval: Milliseconds = 200;
/** Number of consecutive lookups that a host must answer to count as serving. */
const recoveryLookups = 5;
const lookupTimeout: Milliseconds = 1500;

const createObservations = (): Observations => ({
	calls: [], executions: [], shutdowns: [], disturbances: [], outages: [], partCrashes: [], limitedArrivals: [], partitions: [], oddBodies: [], boundArrivals: [], dutyCalls: [],
});

/** Returns whether a host answers requests and serves the newest version of the configuration but not the one before it. */
const isServing = async ({callerAddress: address}: SoakHost, callers: Callers, version: number, attemptPrefix: string): Promise<boolean> => {
	for (let number = 0; number < recoveryLookups; number++) {
		// eslint-disable-next-line no-await-in-loop -- Lookups are sent one at a time, so that they put no load on the host.
		const {outcome} = await callers.send({
			attempt: `${attemptPrefix}-${number}`, kind: 'lookup', address, timeout: lookupTimeout, pickAddress: () => address,
		});
		if (outcome.kind !== 'answered' || outcome.status !== 200 || !outcome.isOwn) {
			return false;
		}
	}

	const hasNewestVersion = await callers.probe(address, version) === 200;
	return hasNewestVersion && (version === 1 || await callers.probe(address, version - 1) === 404);
};

const waitForHost = async (host: SoakHost, callers: Callers, {clock, seed}: SeedRunOptions, getVersion: () => number): Promise<string[]> => {
	const from = clock.monotonic();
	for (let round = 0; clock.monotonic() - from < recoveryTimeout; round++) {
		// eslint-disable-next-line no-await-in-loop -- A host is checked again only after the previous check.
		if (await isServing(host, callers, getVersion(), `check-${seed}-${host.options.name}-${Math.round(from)}-${round}`)) {
			return [];
		}

		// eslint-disable-next-line no-await-in-loop -- The interval between two checks.
		await clock.sleep(recoveryCheckInterval);
	}

	return [`${host.options.name} didn't serve within ${recoveryTimeout} ms`];
};

const waitForFleet = async (fleet: Fleet, callers: Callers, options: SeedRunOptions, getVersion: () => number): Promise<string[]> => {
	const failures = await Promise.all(fleet.hosts.map(async host => waitForHost(host, callers, options, getVersion)));
	return failures.flat();
};

const injectFaults = async (schedule: readonly ScheduledFault[], injector: Injector, clock: Clock): Promise<void> => {
	const from = clock.monotonic();
	for (const {at, fault} of schedule) {
		// eslint-disable-next-line no-await-in-loop -- Faults begin at their scheduled times.
		await clock.sleep(Math.max(0, at - (clock.monotonic() - from)));
		injector.inject(fault);
	}

	await injector.waitForFaults();
};

/** Runs the soak with one seed: starts the fleet and the traffic, injects the faults, waits for the hosts to recover and checks the guarantees. */
export const runSeed = async (options: SeedRunOptions): Promise<SeedRunReport> => {
	const {
		deployment, clock, seed, network, hosts, upstreams, faultPeriod,
	} = options;
	const folder = join(options.folder, `seed-${seed}`);
	mkdirSync(folder, {recursive: true});
	const observations = createObservations();
	const fleet = await startFleet({
		deployment, network, folder, hosts, upstreams, random: createRandom(seed + 2),
		listeners: {
			onExecute(execution) {
				observations.executions.push({...execution, at: clock.monotonic()});
			},
			onPartCrash(part) {
				observations.partCrashes.push({part, at: clock.monotonic()});
			},
			onBoundArrival(arrival) {
				observations.boundArrivals.push({...arrival, at: clock.monotonic()});
			},
			onLimitedArrival(episode) {
				observations.limitedArrivals.push({episode, at: clock.monotonic()});
			},
			onDutyCall(call) {
				observations.dutyCalls.push({...call, at: clock.monotonic()});
			},
		},
	});
	const callers = deployment.createCallers();
	const schedule = options.schedule ?? drawSchedule(seed, {hosts, upstreams: fleet.upstreams.length}, faultPeriod, options.faultSet);
	try {
		deployment.configure(fleet.store, 1);
		const startFailures = await waitForFleet(fleet, callers, options, () => 1);
		const injector = createInjector({
			fleet, deployment, callers, clock, observations,
		});
		const traffic = startTraffic({
			fleet, deployment, callers, clock, random: createRandom(seed + 1), attemptPrefix: `a${seed}`,
			getRateFactor: injector.getRateFactor, getCrashingPart: injector.getCrashingPart, onCall(call) {
				observations.calls.push(call);
			},
		});
		await injectFaults(schedule, injector, clock);
		const recoveryFailures = await waitForFleet(fleet, callers, options, injector.getVersion);
		await traffic.stop();
		return {
			seed,
			faults: schedule.length,
			calls: observations.calls.length,
			served: observations.calls.filter(({outcome}) => outcome.kind === 'answered' && outcome.status === 200 && outcome.isOwn).length,
			windows: countReportedWindows(observations),
			violations: findViolations(observations),
			failures: [...startFailures, ...recoveryFailures, ...injector.getFailures()],
		};
	} finally {
		callers.close();
		await fleet.close();
	}
};
