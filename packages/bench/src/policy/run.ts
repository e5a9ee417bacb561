import type {Mechanism} from '@gentianlift/scheduler';
import {
	getArrivals, getFlows, getReport, runLoad, startDeployment, type Arrival, type CallRecord, type Deployment, type DeploymentName, type Flow, type Report,
} from '@gentianlift/trial';
import type {
	ClassName, Configuration, Milliseconds, Settings,
} from '@gentianlift/types';
import {readCounters, type Counters} from './counters.js';

/** Parameters of a run. */
export type RunOptions = {
	deployment: DeploymentName;
	/** Offered load as a multiple of the engines' capacity. */
	load: number;
	order: Settings['order'];
	hosts: number;
	seconds: number;
	seed: number;
	/** Faults injected into the run. */
	faults: 'none' | 'straggler-and-crash' | 'flood';
	/** Mechanisms that are switched off. */
	without: Mechanism[];
	/** Classes whose requests are sent; all if undefined. */
	only?: ClassName[];
};

/** Result of a run. `hasStoppedCleanly` tells whether every process exited with status 0. */
export type RunResult = {run: RunOptions; report: Report; records: CallRecord[]; counters: Counters; configuration: Configuration; hasStoppedCleanly: boolean};

const simulatedHour = 9;
const rulesTime = '09:00';
const warmUp: Milliseconds = 3000;
const unlimited = 1_000_000;
/** Time per output token with a full batch in the fake engine's default model: 20 ms, plus 0.5 ms for each of 8 running generations. */
const fullBatchTokenTime: Milliseconds = 24;
/** Fraction of the time during which flows burst. */
const burstTimeFraction = 0.4;
/** Lag of the engines' load reports, and downtime of a crashed engine. */
const reportDelay: Milliseconds = 2000;
const stragglerSlowFactor = 4;
const floodRateFactor = 6;
const floodCustomers = {kopi: 'thriasio-coil', alfoldi: 'szolnok-coop'} as const;

/** Returns the factor on the flows' rates at which chat requests occupy all slots of all engines. */
export const getCapacityRateFactor = (flows: readonly Flow[], configuration: Configuration): number => {
	let neededSlots = 0;
	for (const {perSecond, burst, work} of flows) {
		const rate = perSecond * (1 + (burstTimeFraction * (burst - 1)));
		neededSlots += work.kind === 'chat' ? rate * work.meanTokens * fullBatchTokenTime / 1000 : 0;
	}

	let slots = 0;
	for (const engine of configuration.inventory.engines) {
		slots += engine.slots;
	}

	return slots / neededSlots;
};

/** Replaces the customers' limits with ones too high to refuse anything, because the measurement is about scheduling only. */
const removeCustomerLimits = (configuration: Configuration): Configuration => ({
	...configuration,
	inventory: {
		...configuration.inventory,
		customers: configuration.inventory.customers.map(customer => ({
			...customer, limits: {requestsPerSecond: unlimited, tokensPerSecond: unlimited, concurrency: unlimited},
		})),
	},
});

const createArrivals = ({deployment, load, seconds, seed, only, faults}: RunOptions, configuration: Configuration): Arrival[] => {
	const flows = getFlows(deployment);
	const rate = load * getCapacityRateFactor(flows, configuration);
	const includedFlows = flows.filter(({className}) => only === undefined || only.includes(className));
	const arrivals = getArrivals({
		flows: includedFlows, rate, seconds, seed,
	});
	if (faults !== 'flood') {
		return arrivals;
	}

	const [floodFlow] = flows;
	const floodArrivals = floodFlow === undefined
		? []
		: getArrivals({
			flows: [{...floodFlow, customers: [floodCustomers[deployment]]}], rate: rate * floodRateFactor, seconds, seed: seed + 1,
		});
	return [...arrivals, ...floodArrivals].toSorted((left, right) => left.at - right.at);
};

/** Schedules the faults of `straggler-and-crash`: slows one engine down after a third of the run, and crashes and restarts another at half of it. */
const scheduleFaults = ({clock, engines}: Deployment, {faults, seconds}: RunOptions): void => {
	if (faults !== 'straggler-and-crash') {
		return;
	}

	const [slow, crashing] = [...engines.values()];
	clock.after(seconds * 1000 / 3, () => {
		if (slow !== undefined) {
			slow.faults.slowFactor = stragglerSlowFactor;
		}
	});
	clock.after(seconds * 1000 / 2, () => {
		void crashing?.listener.crash();
		clock.after(reportDelay, () => {
			void crashing?.listener.restart();
		});
	});
};

/** Starts a deployment, sends the run's load, and collects the results. */
export const runOnce = async (run: RunOptions): Promise<RunResult> => {
	const deployment = await startDeployment({
		deployment: run.deployment,
		hosts: run.hosts,
		hour: simulatedHour,
		settings: {order: run.order, without: run.without},
		transformConfiguration: removeCustomerLimits,
		engine: run.faults === 'straggler-and-crash' ? {reportDelay} : {},
	});
	await deployment.clock.sleep(warmUp);
	const arrivals = createArrivals(run, deployment.configuration);
	scheduleFaults(deployment, run);
	const records = await runLoad({
		deployment, arrivals, seed: run.seed, retries: 0,
	});
	const counters = await readCounters(deployment.routers.map(({settings}) => settings.operatorAddress));
	const report = getReport({
		records, configuration: deployment.configuration, fakes: deployment, time: rulesTime,
	});
	const {configuration} = deployment;
	const exits = await deployment.stop();
	const hasStoppedCleanly = exits.every(({outcome}) => outcome === 0);
	return {
		run, report, records, counters, configuration, hasStoppedCleanly,
	};
};
