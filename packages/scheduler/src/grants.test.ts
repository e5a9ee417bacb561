import {expect, test} from 'vitest';
import type {TicketEnd} from '@gentianlift/types';
import {
	createTestConfiguration, createTestFleet, createTestRequest, recordGrant, type TestFleet, type TestHost,
} from './testing/fleet.js';

const getEnd = (request: string, overrides: Partial<TicketEnd> = {}): TicketEnd => ({
	request, attempt: 1, kind: 'finished', tokens: 50, duration: 1000, firstTokenAfter: 100, ...overrides,
});

const createPair = (slots: readonly number[]): {fleet: TestFleet; a: TestHost; b: TestHost} => {
	const fleet = createTestFleet(createTestConfiguration(slots), ['a', 'b']);
	return {fleet, a: fleet.getHost('a'), b: fleet.getHost('b')};
};

/** Number of running requests that the owner knows, over all groups. */
const getRunningCount = (host: TestHost): number => host.owner.getOverview().flatMap(({ranks}) => ranks).reduce((sum, {running}) => sum + running, 0);

test('grants slots across hosts in order of rank', async () => {
	const {fleet, a, b} = createPair([1]);
	recordGrant(a, createTestRequest(fleet, 'first', {rank: 1}));
	await fleet.clock.advance(20);
	const low = recordGrant(a, createTestRequest(fleet, 'low', {rank: 1}));
	const high = recordGrant(b, createTestRequest(fleet, 'high'));
	await fleet.clock.advance(20);
	a.client.reportEnd(getEnd('first'));
	await fleet.clock.advance(20);
	expect(high.grant?.kind).toBe('granted');
	expect(low.grant).toBeUndefined();
	b.client.reportEnd(getEnd('high'));
	await fleet.clock.advance(20);
	expect(low.grant?.kind).toBe('granted');
});

test('takes over what runs when an owner dies', async () => {
	const {fleet, a, b} = createPair([1]);
	recordGrant(b, createTestRequest(fleet, 'running'));
	await fleet.clock.advance(20);
	fleet.network.partitionedHosts.add('a');
	fleet.owners.set('b', 'b');
	const waiting = recordGrant(b, createTestRequest(fleet, 'waiting'));
	await fleet.clock.advance(3000);
	expect(getRunningCount(b)).toBe(1);
	expect(waiting.grant).toBeUndefined();
	b.client.reportEnd(getEnd('running'));
	await fleet.clock.advance(20);
	expect(waiting.grant?.kind).toBe('granted');
	expect(a.client.getCounts().running).toBe(0);
});

test('a host grants its own requests while the owner is unreachable, and returns to the owner afterwards', async () => {
	const {fleet, b} = createPair([4]);
	fleet.network.partitionedHosts.add('a');
	const duringOutage = recordGrant(b, createTestRequest(fleet, 'degraded'));
	await fleet.clock.advance(3000);
	expect(duringOutage.grant?.kind).toBe('granted');
	expect(b.metrics.getValue('grants_degraded')).toBeGreaterThan(0);
	fleet.network.partitionedHosts.clear();
	await fleet.clock.advance(5000);
	expect(b.metrics.getValue('grant_lines_recovered')).toBe(1);
	expect(getRunningCount(fleet.getHost('a'))).toBe(1);
	const afterRecovery = recordGrant(b, createTestRequest(fleet, 'after'));
	await fleet.clock.advance(50);
	expect(afterRecovery.grant?.kind).toBe('granted');
	expect(getRunningCount(fleet.getHost('a'))).toBe(2);
});

test('frees the slots of a host that has gone silent', async () => {
	const {fleet, a, b} = createPair([1]);
	recordGrant(b, createTestRequest(fleet, 'lost'));
	await fleet.clock.advance(20);
	fleet.network.partitionedHosts.add('b');
	const waiting = recordGrant(a, createTestRequest(fleet, 'waiting', {deadline: fleet.clock.now() + 60_000}));
	await fleet.clock.advance(2000);
	expect(waiting.grant).toBeUndefined();
	await fleet.clock.advance(6000);
	expect(waiting.grant?.kind).toBe('granted');
});

test('repeats a grant after its message was lost', async () => {
	const {fleet, a, b} = createPair([1]);
	recordGrant(a, createTestRequest(fleet, 'first'));
	const second = recordGrant(b, createTestRequest(fleet, 'second'));
	await fleet.clock.advance(50);
	fleet.network.lossProbability = 1;
	a.client.reportEnd(getEnd('first'));
	await fleet.clock.advance(50);
	expect(second.grant).toBeUndefined();
	fleet.network.lossProbability = 0;
	await fleet.clock.advance(3000);
	expect(second.grant?.kind).toBe('granted');
});

test('grants the slot of a withdrawn request to the next one', async () => {
	const {fleet, a, b} = createPair([1]);
	recordGrant(a, createTestRequest(fleet, 'first'));
	await fleet.clock.advance(20);
	const withdrawn = recordGrant(b, createTestRequest(fleet, 'gone'));
	await fleet.clock.advance(20);
	b.client.withdraw('gone');
	const next = recordGrant(b, createTestRequest(fleet, 'next'));
	await fleet.clock.advance(20);
	a.client.reportEnd(getEnd('first'));
	await fleet.clock.advance(20);
	expect(withdrawn.grant?.kind).toBe('withdrawn');
	expect(next.grant?.kind).toBe('granted');
});

test('two hosts that both regard themselves as owner both keep granting slots', async () => {
	const {fleet, a, b} = createPair([2]);
	fleet.owners.set('b', 'b');
	const first = recordGrant(a, createTestRequest(fleet, 'first'));
	const second = recordGrant(b, createTestRequest(fleet, 'second'));
	await fleet.clock.advance(50);
	expect(first.grant?.kind).toBe('granted');
	expect(second.grant?.kind).toBe('granted');
	fleet.owners.set('b', 'a');
	await fleet.clock.advance(200);
	expect(getRunningCount(a)).toBe(2);
});

test('a host enters degraded mode when the owner in its view does not regard itself as owner', async () => {
	const {fleet, b} = createPair([2]);
	fleet.owners.set('a', 'b');
	const grant = recordGrant(b, createTestRequest(fleet, 'first'));
	await fleet.clock.advance(2000);
	expect(grant.grant?.kind).toBe('granted');
	expect(b.metrics.getValue('grant_exchange_failures', {kind: 'not-owner'})).toBeGreaterThan(0);
});

test('refuses a request that crashed two upstreams, and clears the others', async () => {
	const {fleet, a} = createPair([4, 4, 4]);
	const crashing = {fingerprint: 'guilty', deadline: fleet.clock.now() + 60_000};
	recordGrant(a, createTestRequest(fleet, 'g1', crashing));
	recordGrant(a, createTestRequest(fleet, 'innocent'));
	await fleet.clock.advance(20);
	for (const [request, attempt] of [['g1', 1], ['innocent', 1]] as const) {
		a.client.reportEnd(getEnd(request, {attempt, kind: 'failed', crashed: true}));
	}

	const retry = recordGrant(a, createTestRequest(fleet, 'g2', crashing));
	await fleet.clock.advance(10_000);
	expect(retry.grant?.kind).toBe('granted');
	a.client.reportEnd(getEnd('g2', {kind: 'failed', crashed: true}));
	const refused = recordGrant(a, createTestRequest(fleet, 'g3', crashing));
	await fleet.clock.advance(50);
	expect(refused.grant).toMatchObject({kind: 'shed', reason: 'crashes-upstreams'});
	const innocent = recordGrant(a, createTestRequest(fleet, 'innocent-again', {fingerprint: 'innocent'}));
	await fleet.clock.advance(50);
	expect(innocent.grant?.kind).toBe('granted');
});

test('retries of a suspect run one at a time, and are refused once it counts as the cause of crashes', async () => {
	const {fleet, a} = createPair([1, 1, 1, 1]);
	const crashing = {fingerprint: 'guilty', deadline: fleet.clock.now() + 60_000};
	recordGrant(a, createTestRequest(fleet, 'first', crashing));
	await fleet.clock.advance(1100);
	a.client.reportEnd(getEnd('first', {kind: 'failed', crashed: true}));
	const retries = ['r1', 'r2', 'r3'].map(id => recordGrant(a, createTestRequest(fleet, id, crashing)));
	await fleet.clock.advance(50);
	expect(retries.map(({grant}) => grant?.kind)).toEqual(['granted', undefined, undefined]);
	a.client.reportEnd(getEnd('r1', {kind: 'failed', crashed: true}));
	await fleet.clock.advance(200);
	expect(retries.slice(1).map(({grant}) => grant)).toMatchObject([{reason: 'crashes-upstreams'}, {reason: 'crashes-upstreams'}]);
});

test('sends nothing to an upstream that is leaving', async () => {
	const {fleet, a} = createPair([1, 1]);
	a.owner.applyAvailability('e0', 'leaving');
	const grants = ['x', 'y'].map(id => recordGrant(a, createTestRequest(fleet, id)));
	await fleet.clock.advance(20);
	expect(grants.map(({grant}) => grant?.kind === 'granted' ? grant.upstream : undefined)).toEqual(['e1', undefined]);
});

test('methods of the client and the owner work detached from their objects', async () => {
	const {fleet, a} = createPair([1]);
	const {requestGrant, reportEnd, getCounts} = a.client;
	const {applyCacheEvents, getOverview} = a.owner;
	applyCacheEvents('e0', [{sequence: 1, kind: 'stored', chunk: 'x'}]);
	void requestGrant(createTestRequest(fleet, 'first'));
	await fleet.clock.advance(20);
	expect(getCounts().running).toBe(1);
	reportEnd(getEnd('first'));
	expect(getOverview()[0]!.ranks[0]!.running).toBe(0);
});
