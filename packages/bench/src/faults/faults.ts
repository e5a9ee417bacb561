import type {FakeEngine, Faults} from '@gentianlift/fakes';
import type {Deployment, RunningRouter} from '@gentianlift/trial';
import type {Milliseconds} from '@gentianlift/types';

/** A fault that the measurement causes, and how it ends; `cause` resolves once it is over. */
export type Fault = {
	name: string;
	cause: (deployment: Deployment) => Promise<void>;
	/** Time for which requests arrive. */
	seconds: number;
};

const pauseTime: Milliseconds = 12_000;
const restartTime: Milliseconds = 5000;
const outageTime: Milliseconds = 10_000;
const defaultSeconds = 25;
const rollingSeconds = 75;
/** Places of the hosts that faults befall; different ones, so that two faults at once befall two hosts. */
const victims = {killed: 2, paused: 4, drained: 5};

const getRouter = ({routers}: Deployment, place: number): RunningRouter => {
	const router = routers[place];
	if (router === undefined) {
		throw new Error(`there is no host at place ${place}`);
	}

	return router;
};

const setFaults = async (url: string, faults: Faults): Promise<void> => {
	const answer = await fetch(`${url}/fake/faults`, {method: 'POST', body: JSON.stringify(faults)});
	await answer.body?.cancel();
};

/** The engine with the most generations under way, so that a fault there costs the most. */
const getBusiest = ({engines}: Deployment): FakeEngine => {
	const [busiest] = [...engines.values()].toSorted((first, second) => second.getState().running - first.getState().running);
	if (busiest === undefined) {
		throw new Error('there is no engine');
	}

	return busiest;
};

const replaceHost = async (deployment: Deployment, router: RunningRouter): Promise<void> => {
	const outcome = await router.stop();
	if (outcome !== 0) {
		throw new Error(`${router.settings.host} ended with ${outcome}`);
	}

	await deployment.restartRouter(router.settings.host);
};

const replaceAll = async (deployment: Deployment): Promise<void> => {
	for (const router of deployment.routers) {
		// eslint-disable-next-line no-await-in-loop -- One host at a time.
		await replaceHost(deployment, router);
	}
};

/** Faults that are caused alone and in pairs. */
export const faults: Fault[] = [
	{
		name: 'host killed', seconds: defaultSeconds, async cause(deployment) {
			const {signal, settings} = getRouter(deployment, victims.killed);
			signal('SIGKILL');
			await deployment.clock.sleep(restartTime);
			await deployment.restartRouter(settings.host);
		},
	},
	{
		name: 'host paused', seconds: defaultSeconds, async cause(deployment) {
			const {signal} = getRouter(deployment, victims.paused);
			signal('SIGSTOP');
			await deployment.clock.sleep(pauseTime);
			signal('SIGCONT');
		},
	},
	{
		name: 'engine crash', seconds: defaultSeconds, async cause(deployment) {
			await setFaults(getBusiest(deployment).listener.url, {crash: true, restartAfterMs: restartTime});
		},
	},
	{
		name: 'service outage', seconds: defaultSeconds, async cause({keyValue, clock}) {
			await setFaults(keyValue.listener.url, {outage: true});
			await clock.sleep(outageTime);
			await setFaults(keyValue.listener.url, {outage: false});
		},
	},
	{
		name: 'silent connections', seconds: defaultSeconds, async cause(deployment) {
			await setFaults(getBusiest(deployment).listener.url, {silent: 'open'});
		},
	},
	{
		name: 'drain', seconds: defaultSeconds, async cause(deployment) {
			await replaceHost(deployment, getRouter(deployment, victims.drained));
		},
	},
];

/** Cases that are measured alone only. */
export const singleCases: Fault[] = [
	{
		name: 'none', seconds: defaultSeconds, async cause() {
			// The load alone, to compare with.
		},
	},
	{name: 'all hosts replaced in turn', seconds: rollingSeconds, cause: replaceAll},
];

/** Gets two faults that are caused at once. */
export const getPair = (first: Fault, second: Fault): Fault => ({
	name: `${first.name} + ${second.name}`,
	seconds: Math.max(first.seconds, second.seconds),
	async cause(deployment) {
		await Promise.all([first.cause(deployment), second.cause(deployment)]);
	},
});

/** Gets all pairs of different faults. */
export const getPairs = (): Fault[] =>
	faults.flatMap((first, index) => faults.slice(index + 1).map(second => getPair(first, second)));
