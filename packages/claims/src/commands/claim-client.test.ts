import {expect, test} from 'vitest';
import {createManualClock, createRandom} from '@gentianlift/clock';
import {createMetrics} from '@gentianlift/metrics';
import {createMemoryKeyValue, noWriteFaults} from '@gentianlift/platform';
import type {ClaimRequest, PeerCalls} from '@gentianlift/types';
import {
	appendSlotToRequestId, createClaimClient, createClaimStore, claimLimits,
} from '../index.js';

const start = Date.UTC(2026, 0, 1);
const createTimedKey = (time: number, suffix = 0): string => {
	const hex = time.toString(16).padStart(12, '0');
	return `${hex.slice(0, 8)}-${hex.slice(8)}-7000-8000-${suffix.toString(16).padStart(12, '0')}`;
};

const createFleet = (getOwner = (): string | undefined => undefined) => {
	const clock = createManualClock(start);
	const keyValue = createMemoryKeyValue({clock, random: createRandom(1)});
	const gone = new Set<string>();
	const down = new Set<string>();
	const createHost = (host: string, seed: number) => {
		const shared = {
			clock, random: createRandom(seed), metrics: createMetrics(), keyValue, isGone: (name: string) => gone.has(name),
		};
		const owner = createClaimStore(shared);
		const peers: Pick<PeerCalls, 'claim' | 'settleClaim'> = {
			async claim(to, message) {
				return down.has(to) ? {kind: 'unreachable', reason: 'down'} : {kind: 'answered', answer: await owners[to]!.claim(host, message)};
			},
			async settleClaim(to, message) {
				return down.has(to) ? {kind: 'unreachable', reason: 'down'} : {kind: 'answered', answer: await owners[to]!.settle(host, message)};
			},
		};
		return {
			owner, client: createClaimClient({
				...shared, self: host, peers, getOwner, claimStore: owner,
			}),
		};
	};

	const a = createHost('a', 1);
	const b = createHost('b', 2);
	const owners: Record<string, typeof a.owner> = {a: a.owner, b: b.owner};
	/** Advances the clock until the promise is settled. */
	const runUntilSettled = async <Value>(promise: Promise<Value>): Promise<Value> => {
		const done = new Set<boolean>();
		void promise.then(() => done.add(true));
		for (let round = 0; round < 1000 && done.size === 0; round++) {
			// eslint-disable-next-line no-await-in-loop -- The clock advances in small steps.
			await clock.advance(10);
		}

		return promise;
	};

	return {
		clock, keyValue, gone, down, a: a.client, b: b.client, runUntilSettled,
	};
};

const createRequest = (host: string, sequence: number, key = createTimedKey(start), digest = 'd'): ClaimRequest => ({
	key: {customer: 'kopi', key}, digest, request: `${host}.1.${sequence}`, host, incarnation: 1,
});

for (const key of [createTimedKey(start), 'order-17']) {
	const kind = key.length > 30 ? 'timed' : 'untimed';

	test(`only one of two concurrent claims starts, ${kind} key`, async () => {
		const {a, b, runUntilSettled} = createFleet();
		const decisions = await runUntilSettled(Promise.all([a.claim(createRequest('a', 1, key)), b.claim(createRequest('b', 1, key))]));
		expect(decisions.map(({kind}) => kind).toSorted()).toEqual(['in-progress', 'start']);
	});

	test(`a repeated request gets the stored response, ${kind} key`, async () => {
		const {a, b, runUntilSettled} = createFleet();
		await runUntilSettled(a.claim(createRequest('a', 1, key)));
		a.settle({key: createRequest('a', 1, key).key, request: 'a.1.1', outcome: {kind: 'finished', status: 201, body: 'cut'}});
		expect(await runUntilSettled(a.drain())).toBe(0);
		expect(await runUntilSettled(b.claim(createRequest('b', 1, key)))).toMatchObject({kind: 'done', claim: {outcome: {status: 201, body: 'cut'}}});
		expect(await runUntilSettled(b.claim(createRequest('b', 2, key, 'other')))).toEqual({kind: 'mismatch'});
	});

	test(`a claim whose write reply is lost starts once, ${kind} key`, async () => {
		const {a, b, keyValue, runUntilSettled} = createFleet();
		keyValue.injectWriteFaults('lost-reply');
		expect(await runUntilSettled(a.claim(createRequest('a', 1, key)))).toMatchObject({kind: 'start'});
		expect(await runUntilSettled(b.claim(createRequest('b', 1, key)))).toMatchObject({kind: 'in-progress'});
	});
}

test('a withdrawn request never starts and frees its key', async () => {
	const {a, b, keyValue, runUntilSettled, clock} = createFleet();
	keyValue.setFaults({probabilities: {...noWriteFaults, dropped: 1}});
	expect(await runUntilSettled(a.claim(createRequest('a', 1)))).toMatchObject({kind: 'unavailable', undetermined: true});
	keyValue.setFaults({probabilities: noWriteFaults});
	await clock.advance(20_000);
	expect(await runUntilSettled(a.claim(createRequest('a', 1)))).toMatchObject({kind: 'unavailable'});
	expect(await runUntilSettled(b.claim(createRequest('b', 1)))).toMatchObject({kind: 'start'});
});

test('an outage refuses claims and delays settlements', async () => {
	const {a, keyValue, runUntilSettled, clock} = createFleet();
	await runUntilSettled(a.claim(createRequest('a', 1)));
	keyValue.setFaults({outage: true});
	a.settle({key: createRequest('a', 1).key, request: 'a.1.1', outcome: {kind: 'finished', status: 200}});
	expect(await runUntilSettled(a.claim(createRequest('a', 2, createTimedKey(start, 1))))).toEqual({kind: 'unavailable', reason: 'outage', undetermined: false});
	keyValue.setFaults({outage: false});
	await clock.advance(20_000);
	expect(await runUntilSettled(a.readClaim(createRequest('a', 1).key))).toMatchObject({kind: 'found', claim: {outcome: {kind: 'finished'}}});
});

test('the claim of a host that is gone has an unknown outcome', async () => {
	const {a, b, gone, runUntilSettled} = createFleet();
	await runUntilSettled(a.claim(createRequest('a', 1)));
	gone.add('a');
	expect(await runUntilSettled(b.claim(createRequest('b', 1)))).toMatchObject({kind: 'unknown', claim: {request: 'a.1.1'}});
});

test('a host stores the claim itself when the owner is unreachable', async () => {
	const {a, down, runUntilSettled} = createFleet(() => 'b');
	down.add('b');
	expect(await runUntilSettled(a.claim(createRequest('a', 1)))).toMatchObject({kind: 'start'});
});

test('waits until the request in progress has ended', async () => {
	const {a, b, runUntilSettled, clock} = createFleet(() => 'a');
	await runUntilSettled(a.claim(createRequest('a', 1)));
	const decision = b.claimOrWait(createRequest('b', 1), 5000);
	await clock.advance(500);
	a.settle({key: createRequest('a', 1).key, request: 'a.1.1', outcome: {kind: 'finished', status: 200}});
	expect(await runUntilSettled(decision)).toMatchObject({kind: 'done'});
});

test('refuses keys whose timestamp is too old or too far in the future', async () => {
	const {a, runUntilSettled} = createFleet();
	const {retention, maxTimestampLead} = claimLimits;
	expect(await runUntilSettled(a.claim(createRequest('a', 1, createTimedKey(start - retention - 1))))).toEqual({kind: 'expired'});
	expect(await runUntilSettled(a.claim(createRequest('a', 2, createTimedKey(start + maxTimestampLead + 1000))))).toMatchObject({kind: 'invalid'});
});

test('finds a claim by its request id', async () => {
	const {a, b, runUntilSettled} = createFleet();
	const request = createRequest('a', 1);
	const id = appendSlotToRequestId(request.request, request.key);
	await runUntilSettled(a.claim({...request, request: id}));
	expect(await runUntilSettled(b.readClaimByRequestId(id))).toMatchObject({kind: 'found', claim: {customer: 'kopi'}});
});

test('batches many claims into few writes', async () => {
	const {a, keyValue, runUntilSettled} = createFleet();
	keyValue.setFaults({latency: 5});
	const requests = Array.from({length: 640}, (_, index) => createRequest('a', index, createTimedKey(start, index)));
	const decisions = await runUntilSettled(Promise.all(requests.map(async request => a.claim(request))));
	expect(decisions.every(({kind}) => kind === 'start')).toBe(true);
	expect(keyValue.getCallCounts().writes).toBeLessThan(100);
});

test('an owner with an outdated cached slot still stores a settlement', async () => {
	let owner = 'a';
	const {a, b, keyValue, runUntilSettled} = createFleet(() => owner);
	const {key} = createRequest('a', 1);
	owner = 'b';
	keyValue.setFaults({probabilities: {...noWriteFaults, refused: 1}});
	expect(await runUntilSettled(b.claim(createRequest('b', 1)))).toMatchObject({kind: 'unavailable', undetermined: false});
	keyValue.setFaults({probabilities: noWriteFaults});
	owner = 'a';
	expect(await runUntilSettled(a.claim(createRequest('a', 1)))).toMatchObject({kind: 'start'});
	owner = 'b';
	a.settle({key, request: 'a.1.1', outcome: {kind: 'finished', status: 200}});
	await runUntilSettled(a.drain());
	expect(await runUntilSettled(a.readClaim(key))).toMatchObject({claim: {outcome: {kind: 'finished'}}});
});

test('a late claim of a withdrawn request does not take the key', async () => {
	const {a, b, runUntilSettled} = createFleet();
	const {key} = createRequest('a', 1);
	a.settle({key, request: 'a.1.1', outcome: {kind: 'not-run'}});
	await runUntilSettled(a.drain());
	await runUntilSettled(a.claim(createRequest('a', 2)));
	a.settle({key, request: 'a.1.2', outcome: {kind: 'not-run'}});
	await runUntilSettled(a.drain());
	expect(await runUntilSettled(b.claim(createRequest('a', 1)))).toMatchObject({kind: 'unavailable'});
	expect(await runUntilSettled(b.claim(createRequest('b', 1)))).toMatchObject({kind: 'start'});
});
