import {expect, test} from 'vitest';
import type {TicketEnd} from '@gentianlift/types';
import {
	createTestConfiguration, createTestFleet, createTestRequest, type TestFleet, type TestHost, watch,
} from './testing/fleet.js';

const getEnd = (request: string, change: Partial<TicketEnd> = {}): TicketEnd => ({
	request, attempt: 1, kind: 'finished', tokens: 50, duration: 1000, firstTokenAfter: 100, ...change,
});

const createPair = (slots: readonly number[]): {fleet: TestFleet; a: TestHost; b: TestHost} => {
	const fleet = createTestFleet(createTestConfiguration(slots), ['a', 'b']);
	return {fleet, a: fleet.getHost('a'), b: fleet.getHost('b')};
};

/** Slots that the owner takes as used, over all groups. */
const getRunning = (host: TestHost): number => host.owner.getOverview().flatMap(({ranks}) => ranks).reduce((sum, {running}) => sum + running, 0);

test('grants over hosts in order of rank', async () => {
	const {fleet, a, b} = createPair([1]);
	watch(a, createTestRequest(fleet, 'first', {rank: 1}));
	await fleet.clock.advance(20);
	const low = watch(a, createTestRequest(fleet, 'low', {rank: 1}));
	const high = watch(b, createTestRequest(fleet, 'high'));
	await fleet.clock.advance(20);
	a.client.end(getEnd('first'));
	await fleet.clock.advance(20);
	expect(high.grant?.kind).toBe('granted');
	expect(low.grant).toBeUndefined();
	b.client.end(getEnd('high'));
	await fleet.clock.advance(20);
	expect(low.grant?.kind).toBe('granted');
});

test('takes over what runs when an owner dies', async () => {
	const {fleet, a, b} = createPair([1]);
	watch(b, createTestRequest(fleet, 'running'));
	await fleet.clock.advance(20);
	fleet.links.cut.add('a');
	fleet.owners.set('b', 'b');
	const waiting = watch(b, createTestRequest(fleet, 'waiting'));
	await fleet.clock.advance(3000);
	expect(getRunning(b)).toBe(1);
	expect(waiting.grant).toBeUndefined();
	b.client.end(getEnd('running'));
	await fleet.clock.advance(20);
	expect(waiting.grant?.kind).toBe('granted');
	expect(a.client.getCounts().running).toBe(0);
});

test('orders its own requests while the owner is out of reach, and rejoins', async () => {
	const {fleet, b} = createPair([4]);
	fleet.links.cut.add('a');
	const degraded = watch(b, createTestRequest(fleet, 'degraded'));
	await fleet.clock.advance(3000);
	expect(degraded.grant?.kind).toBe('granted');
	expect(b.metrics.getValue('grants_degraded')).toBeGreaterThan(0);
	fleet.links.cut.clear();
	await fleet.clock.advance(5000);
	expect(b.metrics.getValue('grant_lines_recovered')).toBe(1);
	expect(getRunning(fleet.getHost('a'))).toBe(1);
	const after = watch(b, createTestRequest(fleet, 'after'));
	await fleet.clock.advance(50);
	expect(after.grant?.kind).toBe('granted');
	expect(getRunning(fleet.getHost('a'))).toBe(2);
});

test('frees the slots of a host that says nothing any more', async () => {
	const {fleet, a, b} = createPair([1]);
	watch(b, createTestRequest(fleet, 'lost'));
	await fleet.clock.advance(20);
	fleet.links.cut.add('b');
	const waiting = watch(a, createTestRequest(fleet, 'waiting', {deadline: fleet.clock.now() + 60_000}));
	await fleet.clock.advance(2000);
	expect(waiting.grant).toBeUndefined();
	await fleet.clock.advance(6000);
	expect(waiting.grant?.kind).toBe('granted');
});

test('repeats a grant whose message was lost', async () => {
	const {fleet, a, b} = createPair([1]);
	watch(a, createTestRequest(fleet, 'first'));
	const second = watch(b, createTestRequest(fleet, 'second'));
	await fleet.clock.advance(50);
	fleet.links.loss = 1;
	a.client.end(getEnd('first'));
	await fleet.clock.advance(50);
	expect(second.grant).toBeUndefined();
	fleet.links.loss = 0;
	await fleet.clock.advance(3000);
	expect(second.grant?.kind).toBe('granted');
});

test('gives back a slot whose request was withdrawn', async () => {
	const {fleet, a, b} = createPair([1]);
	watch(a, createTestRequest(fleet, 'first'));
	await fleet.clock.advance(20);
	const gone = watch(b, createTestRequest(fleet, 'gone'));
	await fleet.clock.advance(20);
	b.client.withdraw('gone');
	const next = watch(b, createTestRequest(fleet, 'next'));
	await fleet.clock.advance(20);
	a.client.end(getEnd('first'));
	await fleet.clock.advance(20);
	expect(gone.grant?.kind).toBe('withdrawn');
	expect(next.grant?.kind).toBe('granted');
});

test('two hosts that each take themselves as owner both go on', async () => {
	const {fleet, a, b} = createPair([2]);
	fleet.owners.set('b', 'b');
	const first = watch(a, createTestRequest(fleet, 'first'));
	const second = watch(b, createTestRequest(fleet, 'second'));
	await fleet.clock.advance(50);
	expect(first.grant?.kind).toBe('granted');
	expect(second.grant?.kind).toBe('granted');
	fleet.owners.set('b', 'a');
	await fleet.clock.advance(200);
	expect(getRunning(a)).toBe(2);
});

test('an owner that does not know it degrades its askers', async () => {
	const {fleet, b} = createPair([2]);
	fleet.owners.set('a', 'b');
	const grant = watch(b, createTestRequest(fleet, 'first'));
	await fleet.clock.advance(2000);
	expect(grant.grant?.kind).toBe('granted');
	expect(b.metrics.getValue('grant_exchange_failures', {kind: 'not-owner'})).toBeGreaterThan(0);
});

test('refuses a request that crashed two upstreams, and clears the others', async () => {
	const {fleet, a} = createPair([4, 4, 4]);
	const guilty = {fingerprint: 'guilty', deadline: fleet.clock.now() + 60_000};
	watch(a, createTestRequest(fleet, 'g1', guilty));
	watch(a, createTestRequest(fleet, 'innocent'));
	await fleet.clock.advance(20);
	for (const [request, attempt] of [['g1', 1], ['innocent', 1]] as const) {
		a.client.end(getEnd(request, {attempt, kind: 'failed', crashed: true}));
	}

	const again = watch(a, createTestRequest(fleet, 'g2', guilty));
	await fleet.clock.advance(10_000);
	expect(again.grant?.kind).toBe('granted');
	a.client.end(getEnd('g2', {kind: 'failed', crashed: true}));
	const refused = watch(a, createTestRequest(fleet, 'g3', guilty));
	await fleet.clock.advance(50);
	expect(refused.grant).toMatchObject({kind: 'shed', reason: 'crashes-upstreams'});
	const innocent = watch(a, createTestRequest(fleet, 'innocent-again', {fingerprint: 'innocent'}));
	await fleet.clock.advance(50);
	expect(innocent.grant?.kind).toBe('granted');
});

test('resends of a suspect run one after another, and fall with it', async () => {
	const {fleet, a} = createPair([1, 1, 1, 1]);
	const guilty = {fingerprint: 'guilty', deadline: fleet.clock.now() + 60_000};
	watch(a, createTestRequest(fleet, 'first', guilty));
	await fleet.clock.advance(1100);
	a.client.end(getEnd('first', {kind: 'failed', crashed: true}));
	const resends = ['r1', 'r2', 'r3'].map(id => watch(a, createTestRequest(fleet, id, guilty)));
	await fleet.clock.advance(50);
	expect(resends.map(({grant}) => grant?.kind)).toEqual(['granted', undefined, undefined]);
	a.client.end(getEnd('r1', {kind: 'failed', crashed: true}));
	await fleet.clock.advance(200);
	expect(resends.slice(1).map(({grant}) => grant)).toMatchObject([{reason: 'crashes-upstreams'}, {reason: 'crashes-upstreams'}]);
});

test('sends nothing to an upstream that is leaving', async () => {
	const {fleet, a} = createPair([1, 1]);
	a.owner.applyStanding('e0', 'leaving');
	const grants = ['x', 'y'].map(id => watch(a, createTestRequest(fleet, id)));
	await fleet.clock.advance(20);
	expect(grants.map(({grant}) => grant?.kind === 'granted' ? grant.upstream : undefined)).toEqual(['e1', undefined]);
});

test('its functions stand alone', async () => {
	const {fleet, a} = createPair([1]);
	const {ask, end, getCounts} = a.client;
	const {applyCacheEvents, getOverview} = a.owner;
	applyCacheEvents('e0', [{sequence: 1, kind: 'stored', chunk: 'x'}]);
	void ask(createTestRequest(fleet, 'first'));
	await fleet.clock.advance(20);
	expect(getCounts().running).toBe(1);
	end(getEnd('first'));
	expect(getOverview()[0]!.ranks[0]!.running).toBe(0);
});
