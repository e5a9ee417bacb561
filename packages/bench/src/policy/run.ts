import {
	getArrivals, getFlows, getReport, runLoad, startDeployment, type Arrival, type CallRecord, type Deployment, type DeploymentName, type Flow, type Report,
} from '@gentianlift/trial';
import type {
	ClassName, Configuration, Milliseconds, Settings,
} from '@gentianlift/types';
import {getCounters, type Counters} from './counters.js';

/** Mechanism of the scheduler that a run goes without. */
export type Mechanism = string;

/** What a run is. */
export type Run = {
	deployment: DeploymentName;
	/** Offered load as a multiple of the engines' capacity. */
	load: number;
	order: Settings['order'];
	hosts: number;
	seconds: number;
	seed: number;
	/** Faults that happen in the run. */
	faults: 'none' | 'straggler-and-crash' | 'flood';
	without: Mechanism[];
	/** Only these classes send. */
	only?: ClassName[];
};

/** What a run came to. */
export type RunResult = {run: Run; report: Report; records: CallRecord[]; counters: Counters; configuration: Configuration; hasStopped: boolean};

const hour = 9;
const time = '09:00';
const warmUp: Milliseconds = 3000;
const liftedLimit = 1_000_000;
/** Time of one output token with a full batch, in the stand-in engine's own figures: 20 ms and half a millisecond for each of eight. */
const tokenTime: Milliseconds = 24;
/** A burst lasts two fifths of the time. */
const burstShare = 0.4;
const lateReports: Milliseconds = 2000;
const slowFactor = 4;
const floodFactor = 6;
const floodCustomers = {kopi: 'thriasio-coil', alfoldi: 'szolnok-coop'} as const;

/** Gets the factor on the example's rates at which the chats need all slots of all engines. */
export const getCapacityRate = (flows: readonly Flow[], configuration: Configuration): number => {
	let needed = 0;
	for (const {perSecond, burst, work} of flows) {
		const rate = perSecond * (1 + (burstShare * (burst - 1)));
		needed += work.kind === 'chat' ? rate * work.meanTokens * tokenTime / 1000 : 0;
	}

	let slots = 0;
	for (const engine of configuration.inventory.engines) {
		slots += engine.slots;
	}

	return slots / needed;
};

/** Lifts the customers' limits, which are not what is measured. */
const liftLimits = (configuration: Configuration): Configuration => ({
	...configuration,
	inventory: {
		...configuration.inventory,
		customers: configuration.inventory.customers.map(customer => ({
			...customer, limits: {requestsPerSecond: liftedLimit, tokensPerSecond: liftedLimit, concurrency: liftedLimit},
		})),
	},
});

const getLoad = ({deployment, load, seconds, seed, only, faults}: Run, configuration: Configuration): Arrival[] => {
	const flows = getFlows(deployment);
	const rate = load * getCapacityRate(flows, configuration);
	const sent = flows.filter(({className}) => only === undefined || only.includes(className));
	const arrivals = getArrivals({
		flows: sent, rate, seconds, seed,
	});
	if (faults !== 'flood') {
		return arrivals;
	}

	const [first] = flows;
	const flood = first === undefined
		? []
		: getArrivals({
			flows: [{...first, customers: [floodCustomers[deployment]]}], rate: rate * floodFactor, seconds, seed: seed + 1,
		});
	return [...arrivals, ...flood].toSorted((left, right) => left.at - right.at);
};

/** Makes one engine slow from a third of the run, and crashes another at half of it. */
const startFaults = ({clock, engines}: Deployment, {faults, seconds}: Run): void => {
	if (faults !== 'straggler-and-crash') {
		return;
	}

	const [slow, crashing] = [...engines.values()];
	clock.after(seconds * 1000 / 3, () => {
		if (slow !== undefined) {
			slow.faults.slowFactor = slowFactor;
		}
	});
	clock.after(seconds * 1000 / 2, () => {
		void crashing?.listener.crash();
		clock.after(lateReports, () => {
			void crashing?.listener.restart();
		});
	});
};

/** Starts a deployment, sends the run's load, and reads what became of it. */
export const runOnce = async (run: Run): Promise<RunResult> => {
	const deployment = await startDeployment({
		deployment: run.deployment,
		hosts: run.hosts,
		hour,
		settings: {order: run.order, without: run.without},
		change: liftLimits,
		engine: run.faults === 'straggler-and-crash' ? {reportLag: lateReports} : {},
	});
	await deployment.clock.sleep(warmUp);
	const arrivals = getLoad(run, deployment.configuration);
	startFaults(deployment, run);
	const records = await runLoad({
		deployment, arrivals, seed: run.seed, retries: 0,
	});
	const counters = await getCounters(deployment.routers.map(({settings}) => settings.operatorAddress));
	const report = getReport({
		records, configuration: deployment.configuration, standins: deployment, time,
	});
	const {configuration} = deployment;
	const ends = await deployment.stop();
	const hasStopped = ends.every(({outcome}) => outcome === 0);
	return {
		run, report, records, counters, configuration, hasStopped,
	};
};
