import {createManualClock} from '@gentianlift/clock';
import type {HostId, EngineLoadReport, PlacementFacts} from '@gentianlift/types';
import {expect, test} from 'vitest';
import {startFleetFacts} from './fleet-facts.js';

const report: EngineLoadReport = {
	at: 0, running: 0, waiting: 0, cacheUse: 0, tokensPerSecond: 0, models: [], adapters: [], role: 'mixed', leaving: false,
};

const getFacts = (host: HostId): PlacementFacts => ({
	demands: [{
		className: 'c', needs: 'm', rank: 0, running: 0, waiting: 1, serviceTime: 1, target: 1,
	}],
	reports: [{upstream: `engine-of-${host}`, report}],
});

const startFacts = (hosts: number, isHolder: () => boolean) => {
	const clock = createManualClock();
	const polledHosts: HostId[] = [];
	const unreachableHosts = new Set<HostId>();
	const facts = startFleetFacts({
		clock,
		self: 'host-0',
		fleet: {getHosts: () => Array.from({length: hosts}, (_, index) => ({host: `host-${index}`, zone: 'a'}))},
		peers: {
			async readPlacementFacts(to) {
				polledHosts.push(to);
				return unreachableHosts.has(to) ? {kind: 'unreachable', reason: ''} : {kind: 'answered', answer: getFacts(to)};
			},
		},
		getOwnFacts: () => getFacts('host-0'),
		isHolder,
	});
	return {
		clock, polledHosts, unreachableHosts, facts,
	};
};

test('the lease holder knows the demand of all hosts after polling them in turn', async () => {
	const {clock, polledHosts, facts} = startFacts(100, () => true);
	await clock.advance(1000);
	expect(polledHosts).toHaveLength(32);
	await clock.advance(3000);
	expect(facts.getDemands()).toHaveLength(100);
	expect(facts.getReports().size).toBe(100);
});

test('the facts of a host that no longer answers expire', async () => {
	const {clock, unreachableHosts, facts} = startFacts(3, () => true);
	await clock.advance(1000);
	unreachableHosts.add('host-2');
	await clock.advance(7000);
	expect([...facts.getReports().keys()]).toEqual(['engine-of-host-0', 'engine-of-host-1']);
});

test('a host that doesn\'t hold the lease polls no other host', async () => {
	const {clock, polledHosts, facts} = startFacts(3, () => false);
	await clock.advance(5000);
	expect(polledHosts).toEqual([]);
	expect(facts.getDemands()).toHaveLength(1);
});
