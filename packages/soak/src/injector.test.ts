import {createManualClock} from '@gentianlift/clock';
import {expect, test} from 'vitest';
import type {Callers, Deployment, FakeStore} from './deployment.js';
import type {SoakHost} from './fleet.js';
import type {Observations} from './guarantees.js';
import {createInjector} from './injector.js';

const grace = 8000;
/** Time from SIGTERM to the exit of the process. */
const stopTime = 3000;

const createObservations = (): Observations => ({
	calls: [], executions: [], shutdowns: [], disturbances: [], outages: [], partCrashes: [], limitedArrivals: [], partitions: [], oddBodies: [], boundArrivals: [],
});

/** Creates an injector for one host, whose process only records what is done to it. */
const start = () => {
	const clock = createManualClock();
	const actions: string[] = [];
	const observations = createObservations();
	const record = (action: string) => (): void => {
		actions.push(action);
	};

	const hostProcess: SoakHost['hostProcess'] = {
		start: record('start'),
		async stop(gracePeriod) {
			actions.push(`stop within ${gracePeriod}`);
			await clock.sleep(stopTime);
		},
		async kill() {
			actions.push('kill');
		},
		pause: record('pause'), resume: record('resume'), reload: record('reload'), setOutput: record('output'), getFailures: () => [],
	};
	const host = {options: {grace}, hostProcess, hasActiveFault: false} as unknown as SoakHost;
	const injector = createInjector({
		fleet: {
			hosts: [host], upstreams: [], store: {} as unknown as FakeStore, close: async () => undefined,
		},
		deployment: {writeSettings: () => undefined} as unknown as Deployment, callers: {} as unknown as Callers, clock, observations,
	});
	return {
		clock, actions, observations, injector,
	};
};

// Guards against: calls that are excused for a start twice, by the time of the start and by that after an outage.
test('an outage and a disturbance by a kill end with the start of the next process', async () => {
	const {clock, observations, injector} = start();
	const from = clock.monotonic();
	injector.inject({kind: 'host-kill', host: 0, down: 500});
	await clock.advance(10_000);
	expect(observations.outages).toEqual([{host: 0, from, to: from + 500}]);
	expect(observations.disturbances).toEqual([{kind: 'host-kill', from, to: from + 500}]);
});
