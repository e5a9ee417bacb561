import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createManualClock, createRandom, type ManualClock} from '@gentianlift/clock';
import {createMetrics} from '@gentianlift/metrics';
import type {HostId} from '@gentianlift/types';
import {createBucket, getLevelShare, takeFromBucket} from './allocation.js';
import {
	createQuotaClient, createQuotaOwner, createRetryBudgets, type Limit, type QuotaClient, type QuotaOwner,
} from './index.js';

type Host = {id: HostId; client: QuotaClient; owner: QuotaOwner};
type Fleet = {clock: ManualClock; hosts: Host[]; cut: Set<HostId>; owner: HostId};

const createFleet = (limits: readonly Limit[], count = 7): Fleet => {
	const clock = createManualClock(1000);
	const fleet: Fleet = {
		clock, hosts: [], cut: new Set(), owner: 'h0',
	};
	const byName = new Map(limits.map(limit => [limit.name, limit]));
	fleet.hosts = Array.from({length: count}, (_, index) => createHost(fleet, `h${index}`, byName));
	return fleet;
};

const createHost = (fleet: Fleet, id: HostId, limits: ReadonlyMap<string, Limit>): Host => {
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
				if (fleet.cut.has(to) || fleet.cut.has(id)) {
					return {kind: 'unreachable', reason: 'cut'};
				}

				await fleet.clock.sleep(2);
				return {kind: 'answered', answer: fleet.hosts.find(host => host.id === to)!.owner.handle(id, message)};
			},
		},
	});
	return {id, client, owner};
};

/** Tries `rate` requests a second at each of some hosts, and returns how many were allowed. */
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

/** Takes one of a level at each host in turn, and returns how many were allowed. */
const takeLevels = async (fleet: Fleet, rounds: number): Promise<number> => {
	let held = 0;
	const takeOne = async (host: Host): Promise<void> => {
		const decision = await host.client.acquire([{limit: 'concurrency:c', amount: 1}]);
		held += decision.kind === 'allowed' ? 1 : 0;
	};

	for (let round = 0; round < rounds; round++) {
		void takeOne(fleet.hosts[round % fleet.hosts.length]!);
		// eslint-disable-next-line no-await-in-loop -- Time moves step by step.
		await fleet.clock.advance(150);
	}

	return held;
};

const requests: Limit = {name: 'requests:c', kind: 'rate', amount: 70};

test('a rate holds over all hosts, evenly used or not', async () => {
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

test('keeps its share while the owner is out of reach, then an even one', async () => {
	const fleet = createFleet([requests]);
	const hosts = fleet.hosts.slice(1, 2);
	await tryRate(fleet, hosts, 100, 10);
	fleet.cut.add('h0');
	expect(await tryRate(fleet, hosts, 100, 5)).toBeGreaterThan(300);
	await fleet.clock.advance(16_000);
	const allowed = await tryRate(fleet, hosts, 100, 5);
	expect(allowed).toBeGreaterThan(45);
	expect(allowed).toBeLessThan(65);
});

test('a new owner lets hosts have at most twice the limit', async () => {
	const fleet = createFleet([requests]);
	await tryRate(fleet, fleet.hosts, 50, 8);
	fleet.owner = 'h1';
	expect(await tryRate(fleet, fleet.hosts, 50, 5)).toBeLessThan(70 * 5 * 2);
});

test('things under way stay within their limit', async () => {
	const fleet = createFleet([{name: 'concurrency:c', kind: 'level', amount: 10}]);
	const held = await takeLevels(fleet, 100);
	expect(held).toBeGreaterThan(6);
	expect(held).toBeLessThanOrEqual(10);
});

test('an answer longer than allowed is paid back before the next', async () => {
	const fleet = createFleet([{name: 'tokens:c', kind: 'rate', amount: 100}], 1);
	const {client} = fleet.hosts[0]!;
	const acquire = async () => client.acquire([{limit: 'tokens:c', amount: 10}]);
	expect(await acquire()).toEqual({kind: 'allowed'});
	client.use('tokens:c', 1000);
	const refused = await acquire();
	expect(refused.kind === 'refused' && refused.retryAfter).toBeGreaterThan(5000);
	await fleet.clock.advance(11_000);
	expect(await acquire()).toEqual({kind: 'allowed'});
});

test('requests that arrive together are all let through', async () => {
	const fleet = createFleet([{name: 'requests:c', kind: 'rate', amount: 1000}, {name: 'concurrency:c', kind: 'level', amount: 1000}]);
	const {client} = fleet.hosts[1]!;
	const amounts = [{limit: 'requests:c', amount: 1}, {limit: 'concurrency:c', amount: 1}];
	const decided = Promise.all(Array.from({length: 50}, async () => client.acquire(amounts)));
	await fleet.clock.advance(100);
	const decisions = await decided;
	expect(decisions.filter(({kind}) => kind === 'refused')).toEqual([]);
});

test('what a rate gives out is never more than the limit and what it saves up', () => {
	const wishes = fc.array(fc.record({after: fc.nat(500), used: fc.nat(20), wanted: fc.nat(50)}), {minLength: 1, maxLength: 40});
	fc.assert(fc.property(wishes, fc.integer({min: 1, max: 100}), (list, amount) => {
		let [bucket, now, given] = [createBucket(amount, 0), 0, 0];
		for (const {after, used, wanted} of list) {
			now += after;
			const outcome = takeFromBucket(bucket, amount, {used, wanted}, now);
			bucket = outcome.bucket;
			given += outcome.taken;
			expect(given).toBeLessThanOrEqual(amount + (amount * now / 1000) + 1e-6);
		}
	}), {seed: 1});
});

test('shares of a level never add up to more than the limit', () => {
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

test('a small limit over many hosts refuses nothing below it', async () => {
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

test('retries stay within their share of the requests', () => {
	fc.assert(fc.property(fc.array(fc.boolean(), {maxLength: 200}), fc.double({min: 0, max: 0.5, noNaN: true}), (events, share) => {
		const budgets = createRetryBudgets();
		let [sent, retried] = [0, 0];
		for (const isRetry of events) {
			if (isRetry) {
				retried += budgets.takeRetry('k') ? 1 : 0;
			} else {
				sent++;
				budgets.applyRequest('k', share);
			}

			expect(retried).toBeLessThanOrEqual((sent * share) + 1 + 1e-6);
		}
	}), {seed: 1});
});
