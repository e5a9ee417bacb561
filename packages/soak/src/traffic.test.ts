import {createManualClock, createRandom} from '@gentianlift/clock';
import {expect, test} from 'vitest';
import type {CallOptions, Callers, Deployment} from './deployment.js';
import type {Fleet, SoakHost} from './fleet.js';
import {startTraffic} from './traffic.js';

const addresses = ['127.0.0.1:1', '127.0.0.2:1'];
const duration = 8000;

// Guards against: callers that all leave a stopping host, so that none is there when its process ends.
test('a third of the requests, mostly short ones, comes to hosts whose addresses are no longer given to callers', async () => {
	const clock = createManualClock();
	const sent: CallOptions[] = [];
	const traffic = startTraffic({
		fleet: {hosts: addresses.map(callerAddress => ({callerAddress, options: {ip: callerAddress}}) as unknown as SoakHost)} as unknown as Fleet,
		deployment: {
			services: {
				booking: 's', lookup: 's', stream: 's', resumable: 's',
			},
		} as unknown as Deployment,
		callers: {
			async send(options: CallOptions) {
				sent.push(options);
				return {outcome: {kind: 'given-up'}, versions: [], requests: []};
			},
			resolve: async () => addresses.slice(1),
		} as unknown as Callers,
		clock,
		random: createRandom(1),
		attemptPrefix: 'a',
		getRateFactor: () => 1,
		getCrashingPart: () => undefined,
		onCall: () => undefined,
	});
	await clock.advance(duration);
	const atStopping = sent.filter(({address}) => address === addresses[0]);
	const part = 2 * atStopping.length / sent.length;
	expect(sent.length).toBeGreaterThan(duration / 10);
	expect(part).toBeGreaterThan(0.27);
	expect(part).toBeLessThan(0.4);
	expect(atStopping.filter(({kind}) => kind === 'booking' || kind === 'lookup').length / atStopping.length).toBeGreaterThan(0.7);
	const stopped = traffic.stop();
	await clock.advance(1000);
	await stopped;
});
