import type {FakeEngine, Faults} from '@gentianlift/fakes';
import type {Deployment, RunningRouter} from '@gentianlift/trial';
import type {Milliseconds} from '@gentianlift/types';

/** Fault to measure. `inject` causes the fault, and resolves after it has ended it; it resolves at once if the fake ends the fault by itself, or if the fault lasts until the end of the run. */
export type Fault = {
	name: string;
	inject: (deployment: Deployment) => Promise<void>;
	/** Duration of the load, in seconds. */
	arrivalSeconds: number;
};

const pauseDuration: Milliseconds = 12_000;
const restartDelay: Milliseconds = 5000;
const outageDuration: Milliseconds = 10_000;
const defaultArrivalSeconds = 25;
const rollingRestartArrivalSeconds = 75;
/** Indexes of the hosts that faults affect. They differ, so that two concurrent faults affect different hosts. */
const faultyHostIndexes = {killed: 2, paused: 4, drained: 5};

const getRouter = ({routers}: Deployment, index: number): RunningRouter => {
	const router = routers[index];
	if (router === undefined) {
		throw new Error(`there is no host at index ${index}`);
	}

	return router;
};

const setFaults = async (url: string, faults: Faults): Promise<void> => {
	const answer = await fetch(`${url}/fake/faults`, {method: 'POST', body: JSON.stringify(faults)});
	await answer.body?.cancel();
};

/** Returns the engine with the most running generations, where a fault affects the most requests. */
const getBusiestEngine = ({engines}: Deployment): FakeEngine => {
	const [busiest] = [...engines.values()].toSorted((first, second) => second.getState().running - first.getState().running);
	if (busiest === undefined) {
		throw new Error('the deployment has no engine');
	}

	return busiest;
};

const restartHost = async (deployment: Deployment, router: RunningRouter): Promise<void> => {
	const outcome = await router.stop();
	if (outcome !== 0) {
		throw new Error(`${router.settings.host} exited with ${outcome} instead of 0`);
	}

	await deployment.restartRouter(router.settings.host);
};

const restartAllHosts = async (deployment: Deployment): Promise<void> => {
	for (const router of deployment.routers) {
		// eslint-disable-next-line no-await-in-loop -- One host at a time.
		await restartHost(deployment, router);
	}
};

/** Faults that are injected alone and in pairs. */
export const faults: Fault[] = [
	{
		name: 'host killed', arrivalSeconds: defaultArrivalSeconds, async inject(deployment) {
			const {signal, settings} = getRouter(deployment, faultyHostIndexes.killed);
			signal('SIGKILL');
			await deployment.clock.sleep(restartDelay);
			await deployment.restartRouter(settings.host);
		},
	},
	{
		name: 'host paused', arrivalSeconds: defaultArrivalSeconds, async inject(deployment) {
			const {signal} = getRouter(deployment, faultyHostIndexes.paused);
			signal('SIGSTOP');
			await deployment.clock.sleep(pauseDuration);
			signal('SIGCONT');
		},
	},
	{
		name: 'engine crash', arrivalSeconds: defaultArrivalSeconds, async inject(deployment) {
			await setFaults(getBusiestEngine(deployment).listener.url, {crash: true, restartAfterMs: restartDelay});
		},
	},
	{
		name: 'service outage', arrivalSeconds: defaultArrivalSeconds, async inject({keyValue, clock}) {
			await setFaults(keyValue.listener.url, {outage: true});
			await clock.sleep(outageDuration);
			await setFaults(keyValue.listener.url, {outage: false});
		},
	},
	{
		name: 'silent connections', arrivalSeconds: defaultArrivalSeconds, async inject(deployment) {
			await setFaults(getBusiestEngine(deployment).listener.url, {silent: 'open'});
		},
	},
	{
		name: 'drain', arrivalSeconds: defaultArrivalSeconds, async inject(deployment) {
			await restartHost(deployment, getRouter(deployment, faultyHostIndexes.drained));
		},
	},
];

/** Cases that are measured alone only, not in pairs. */
export const singleCases: Fault[] = [
	{
		name: 'none', arrivalSeconds: defaultArrivalSeconds, async inject() {
			// Runs the load without a fault, as the baseline.
		},
	},
	{name: 'all hosts replaced in turn', arrivalSeconds: rollingRestartArrivalSeconds, inject: restartAllHosts},
];

/** Returns a case that injects two faults at the same time. */
export const getPair = (first: Fault, second: Fault): Fault => ({
	name: `${first.name} + ${second.name}`,
	arrivalSeconds: Math.max(first.arrivalSeconds, second.arrivalSeconds),
	async inject(deployment) {
		await Promise.all([first.inject(deployment), second.inject(deployment)]);
	},
});

/** Returns all pairs of different faults. */
export const getPairs = (): Fault[] =>
	faults.flatMap((first, index) => faults.slice(index + 1).map(second => getPair(first, second)));
