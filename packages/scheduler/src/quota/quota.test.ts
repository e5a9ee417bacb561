import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createManualClock, createRandom, type ManualClock} from '@gentianlift/clock';
import {createMetrics} from '@gentianlift/metrics';
import type {HostId} from '@gentianlift/types';
import {createBucket, getLevelShare, takeFromBucket} from './allocation.js';
import {
	createQuotaClient, createQuotaOwner, createRetryBudgets, type QuotaLimit, type QuotaClient, type QuotaOwner,
} from './index.js';

type Host = {id: HostId; client: QuotaClient; owner: QuotaOwner};
type Fleet = {clock: ManualClock; hosts: Host[]; partitionedHosts: Set<HostId>; owner: HostId};

const createFleet = (limits: readonly QuotaLimit[], count = 7): Fleet => {
	const clock = createManualClock(1000);
	const fleet: Fleet = {
		clock, hosts: [], partitionedHosts: new Set(), owner: 'h0',
	};
	const byName = new Map(limits.map(limit => [limit.name, limit]));
	fleet.hosts = Array.from({length: count}, (_, index) => createHost(fleet, `h${index}`, byName));
	return fleet;
};

const createHost = (fleet: Fleet, id: HostId, limits: ReadonlyMap<string, QuotaLimit>): Host => {
	const shared = {
		clock: fleet.clock, self: id, getHosts: () => fleet.hosts.map(host => ({host: host.id})), getOwnerOf: () => fleet.owner, getLimits: () => limits,
	};
	const owner = createQuotaOwner(shared);
	const client = createQuotaClient({
		...shared,
		metrics: createMetrics(),
		getLocalOwner: () => owner,
		peers: {
			async exchangeQuota(to, message) {
				if (fleet.partitionedHosts.has(to) || fleet.partitionedHosts.has(id)) {
					return {kind: 'unreachable', reason: 'cut'};
				}

				await fleet.clock.sleep(2);
				return {kind: 'answered', answer: fleet.hosts.find(host => host.id === to)!.owner.handle(id, message)};
			},
		},
	});
	return {id, client, owner};
};

/** Sends `rate` requests per second to each of the given hosts, and returns how many were allowed. */
const tryRate = async (fleet: Fleet, hosts: readonly Host[], rate: number, seconds: number): Promise<number> => {
	let allowed = 0;
	const tryOne = async (host: Host): Promise<void> => {
		const decision = await host.client.acquire([{limit: 'requests:c', amount: 1}]);
		allowed += decision.kind === 'allowed' ? 1 : 0;
	};

	for (let index = 0; index < seconds * rate; index++) {
		for (const host of hosts) {
			void tryOne(host);
		}

		// eslint-disable-next-line no-await-in-loop -- Time moves step by step.
		await fleet.clock.advance(1000 / rate);
	}

	return allowed;
};

/** Acquires 1 of a level at each host in turn, and returns how many were allowed. */
const acquireLevel = async (fleet: Fleet, rounds: number): Promise<number> => {
	let held = 0;
	const acquireOne = async (host: Host): Promise<void> => {
		const decision = await host.client.acquire([{limit: 'concurrency:c', amount: 1}]);
		held += decision.kind === 'allowed' ? 1 : 0;
	};

	for (let round = 0; round < rounds; round++) {
		void acquireOne(fleet.hosts[round % fleet.hosts.length]!);
		// eslint-disable-next-line no-await-in-loop -- Time moves step by step.
		await fleet.clock.advance(150);
	}

	return held;
};

const requests: QuotaLimit = {name: 'requests:c', kind: 'rate', amount: 70};

test('a rate holds across all hosts, whether they use it evenly or not', async () => {
	for (const count of [1, 7]) {
		const fleet = createFleet([requests]);
		const hosts = fleet.hosts.slice(0, count);
		// eslint-disable-next-line no-await-in-loop -- One fleet after another.
		await tryRate(fleet, hosts, 100, 10);
		// eslint-disable-next-line no-await-in-loop -- One fleet after another.
		const allowed = await tryRate(fleet, hosts, 100, 10);
		expect(allowed).toBeGreaterThan(70 * 10 * 0.85);
		expect(allowed).toBeLessThan(70 * 10 * 1.15);
	}
});

test('a host keeps its rate while the owner is unreachable, then falls back to an even share', async () => {
	const fleet = createFleet([requests]);
	const hosts = fleet.hosts.slice(1, 2);
	await tryRate(fleet, hosts, 100, 10);
	fleet.partitionedHosts.add('h0');
	expect(await tryRate(fleet, hosts, 100, 5)).toBeGreaterThan(300);
	await fleet.clock.advance(16_000);
	const allowed = await tryRate(fleet, hosts, 100, 5);
	expect(allowed).toBeGreaterThan(45);
	expect(allowed).toBeLessThan(65);
});

test('after a change of owner, hosts use at most twice the limit', async () => {
	const fleet = createFleet([requests]);
	await tryRate(fleet, fleet.hosts, 50, 8);
	fleet.owner = 'h1';
	expect(await tryRate(fleet, fleet.hosts, 50, 5)).toBeLessThan(70 * 5 * 2);
});

test('concurrent requests stay within their limit', async () => {
	const fleet = createFleet([{name: 'concurrency:c', kind: 'level', amount: 10}]);
	const held = await acquireLevel(fleet, 100);
	expect(held).toBeGreaterThan(6);
	expect(held).toBeLessThanOrEqual(10);
});

test('the debt of an answer beyond the limit is paid off before the next request is allowed', async () => {
	const fleet = createFleet([{name: 'tokens:c', kind: 'rate', amount: 100}], 1);
	const {client} = fleet.hosts[0]!;
	const acquire = async () => client.acquire([{limit: 'tokens:c', amount: 10}]);
	expect(await acquire()).toEqual({kind: 'allowed'});
	client.recordUse('tokens:c', 1000);
	const refused = await acquire();
	expect(refused.kind === 'refused' && refused.retryAfter).toBeGreaterThan(5000);
	await fleet.clock.advance(11_000);
	expect(await acquire()).toEqual({kind: 'allowed'});
});

test('requests within the limits that arrive together are all allowed', async () => {
	const fleet = createFleet([{name: 'requests:c', kind: 'rate', amount: 1000}, {name: 'concurrency:c', kind: 'level', amount: 1000}]);
	const {client} = fleet.hosts[1]!;
	const amounts = [{limit: 'requests:c', amount: 1}, {limit: 'concurrency:c', amount: 1}];
	const decided = Promise.all(Array.from({length: 50}, async () => client.acquire(amounts)));
	await fleet.clock.advance(100);
	const decisions = await decided;
	expect(decisions.filter(({kind}) => kind === 'refused')).toEqual([]);
});

test('a token bucket never allocates more than its rate plus its burst', () => {
	const wishes = fc.array(fc.record({after: fc.nat(500), used: fc.nat(20), wanted: fc.nat(50)}), {minLength: 1, maxLength: 40});
	fc.assert(fc.property(wishes, fc.integer({min: 1, max: 100}), (list, amount) => {
		let [bucket, now, allocated] = [createBucket(amount, 0), 0, 0];
		for (const {after, used, wanted} of list) {
			now += after;
			const outcome = takeFromBucket(bucket, amount, {used, wanted}, now);
			bucket = outcome.bucket;
			allocated += outcome.taken;
			expect(allocated).toBeLessThanOrEqual(amount + (amount * now / 1000) + 1e-6);
		}
	}), {seed: 1});
});

test('the shares of a level never add up to more than its limit', () => {
	const wishes = fc.array(fc.record({host: fc.nat(4), wanted: fc.nat(100)}), {minLength: 1, maxLength: 40});
	fc.assert(fc.property(wishes, fc.integer({min: 1, max: 100}), (list, amount) => {
		const shares = new Map<number, number>();
		const getReserved = (): number => [...shares.values()].reduce((sum, share) => sum + share, 0);
		for (const {host, wanted} of list) {
			shares.delete(host);
			shares.set(host, getLevelShare(amount, wanted, getReserved(), 5));
			expect(getReserved()).toBeLessThanOrEqual(amount);
		}
	}), {seed: 1});
});

test('a small limit shared by many hosts refuses no request within it', async () => {
	const fleet = createFleet([{name: 'requests:c', kind: 'rate', amount: 8}, {name: 'concurrency:c', kind: 'level', amount: 15}]);
	const random = createRandom(5);
	let refused = 0;
	const runOne = async (): Promise<void> => {
		const {client} = random.pick(fleet.hosts)!;
		const decision = await client.acquire([{limit: 'requests:c', amount: 1}, {limit: 'concurrency:c', amount: 1}]);
		refused += decision.kind === 'refused' ? 1 : 0;
		await fleet.clock.sleep(1500);
		client.release('concurrency:c', decision.kind === 'refused' ? 0 : 1);
	};

	for (let index = 0; index < 200; index++) {
		void runOne();
		// eslint-disable-next-line no-await-in-loop -- Time moves step by step.
		await fleet.clock.advance(100 + (200 * random.next()));
	}

	expect(refused).toBe(0);
});

test('retries stay within the retry share of the requests', () => {
	fc.assert(fc.property(fc.array(fc.boolean(), {maxLength: 200}), fc.double({min: 0, max: 0.5, noNaN: true}), (events, share) => {
		const budgets = createRetryBudgets();
		let [sent, retried] = [0, 0];
		for (const isRetry of events) {
			if (isRetry) {
				retried += budgets.takeRetry('k') ? 1 : 0;
			} else {
				sent++;
				budgets.recordRequest('k', share);
			}

			expect(retried).toBeLessThanOrEqual((sent * share) + 1 + 1e-6);
		}
	}), {seed: 1});
});
