import {expect, test} from 'vitest';
import type {Fencing} from '@gentianlift/types';
import {exploreGraph} from '../explore.js';
import {isAllowed} from './events.js';
import {createReplay, type ReplayView} from './replay.js';
import {createLeaseSpecification} from './specification.js';
import {
	hosts, type HostName, type LeaseEvent, type LeaseState,
} from './state.js';

const traceCount = 400;

const getExpected = (state: LeaseState, fencing: Fencing): ReplayView => {
	const getNumber = (host: HostName): number => {
		const {phase, lease, number} = state.hosts[host];
		return phase === 'held' && state.leases[lease]?.isBelieved === true ? number : 0;
	};

	const variant = {fencing, leases: 2, faults: 1};
	return {
		fencing: state.fencing,
		isHolderTaken: state.holder !== -1,
		numbers: {a: getNumber('a'), b: getNumber('b')},
		mayOrder: Object.fromEntries(hosts.map(host => [host, isAllowed(state, host, variant)])) as Record<HostName, boolean>,
		done: state.engine.done,
	};
};

const replayTraces = async (fencing: Fencing): Promise<number> => {
	const specification = createLeaseSpecification({fencing, leases: 2, faults: 1});
	const graph = exploreGraph(specification);
	const states = [...graph.states.values()];
	const step = Math.ceil(states.length / traceCount);
	let steps = 0;
	/* eslint-disable no-await-in-loop -- The steps of a trace come one after another. */
	for (const target of states.filter((_, index) => index % step === 0)) {
		const replay = createReplay(fencing);
		let state = specification.initial;
		for (const event of graph.getTrace(JSON.stringify(target)) as LeaseEvent[]) {
			state = specification.apply(state, event);
			await replay.apply(event);
			expect(await replay.getView(), JSON.stringify(event)).toEqual(getExpected(state, fencing));
			steps++;
		}
	}
	/* eslint-enable no-await-in-loop */

	return steps;
};

test('the real functions follow the traces, with an engine that checks numbers', async () => {
	expect(await replayTraces('checked')).toBeGreaterThan(1000);
});

test('the real functions follow the traces, with an engine that ignores numbers', async () => {
	expect(await replayTraces('ignored')).toBeGreaterThan(1000);
});
