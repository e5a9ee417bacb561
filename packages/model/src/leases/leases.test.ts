import {expect, test} from 'vitest';
import type {Fencing} from '@gentianlift/types';
import {exploreGraph} from '../explore.js';
import {isOrderAllowed} from './events.js';
import {createReplay, type ReplayView} from './replay.js';
import {createLeaseSpecification} from './specification.js';
import {
	hosts, type HostName, type LeaseEvent, type LeaseState,
} from './state.js';

const traceCount = 400;

const getExpectedView = (state: LeaseState, fencing: Fencing): ReplayView => {
	const getFencingNumber = (host: HostName): number => {
		const {phase, lease, fencingNumber} = state.hosts[host];
		return phase === 'held' && state.leases[lease]?.isValidForHolder === true ? fencingNumber : 0;
	};

	const variant = {fencing, maxLeases: 2, maxFaults: 1};
	return {
		fencingNumber: state.fencingNumber,
		isHolderTaken: state.holder !== -1,
		fencingNumbers: {a: getFencingNumber('a'), b: getFencingNumber('b')},
		isOrderAllowed: Object.fromEntries(hosts.map(host => [host, isOrderAllowed(state, host, variant)])) as Record<HostName, boolean>,
		executedLeases: state.engine.executedLeases,
	};
};

const replayTraces = async (fencing: Fencing): Promise<number> => {
	const specification = createLeaseSpecification({fencing, maxLeases: 2, maxFaults: 1});
	const graph = exploreGraph(specification);
	const states = [...graph.states.values()];
	const stride = Math.ceil(states.length / traceCount);
	let steps = 0;
	/* eslint-disable no-await-in-loop -- The events of a trace are applied in order. */
	for (const target of states.filter((_, index) => index % stride === 0)) {
		const replay = createReplay(fencing);
		let state = specification.initial;
		for (const event of graph.getTrace(JSON.stringify(target)) as LeaseEvent[]) {
			state = specification.apply(state, event);
			await replay.apply(event);
			expect(await replay.getView(), JSON.stringify(event)).toEqual(getExpectedView(state, fencing));
			steps++;
		}
	}
	/* eslint-enable no-await-in-loop */

	return steps;
};

test('the placement package follows sampled traces, with an engine that checks fencing numbers', async () => {
	expect(await replayTraces('checked')).toBeGreaterThan(1000);
});

test('the placement package follows sampled traces, with an engine that ignores fencing numbers', async () => {
	expect(await replayTraces('ignored')).toBeGreaterThan(1000);
});
