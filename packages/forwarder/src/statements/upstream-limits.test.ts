import {createManualClock, type ManualClock} from '@gentianlift/clock';
import {createSilentLogger} from '@gentianlift/logger';
import type {LimitNews} from '@gentianlift/routing';
import {expect, test} from 'vitest';
import {getAllowedArrivals} from './testing-limits.js';
import {playLimitDay} from './testing-limit-day.js';
import {createUpstreamLimits, type UpstreamLimits} from './upstream-limits.js';

const upstream = 'u@1';

type Fixture = {clock: ManualClock; limits: UpstreamLimits; announced: LimitNews[]};

const start = ({hosts = 1, isChosen = true} = {}): Fixture => {
	const clock = createManualClock(1000);
	const announced: LimitNews[] = [];
	const limits = createUpstreamLimits({
		clock,
		logger: createSilentLogger(),
		countHosts: () => hosts,
		isAmongChosenHosts: () => isChosen,
		announce(news) {
			announced.push(news);
		},
	});
	return {clock, limits, announced};
};

const name = ({limits, clock}: Fixture, perSecond: number): void => {
	limits.observe({upstream, statement: {kind: 'rate', perSecond}, sentAt: clock.monotonic()});
};

const countSends = async ({limits, clock}: Fixture, seconds: number): Promise<number> => {
	let sent = 0;
	for (let step = 0; step < seconds * 100; step++) {
		// eslint-disable-next-line no-await-in-loop -- The clock advances in steps.
		await clock.advance(10);
		sent += limits.hasPermit(upstream) && limits.claim(upstream).take() ? 1 : 0;
	}

	return sent;
};

test('an upstream that names no limit is not limited', () => {
	const {limits} = start();
	limits.observe({upstream, statement: {kind: 'none'}, sentAt: 0});
	expect(limits.isLimited(upstream)).toBe(false);
	expect(limits.hasPermit(upstream)).toBe(true);
	expect(limits.getNews()).toEqual([]);
});

test('the only host sends as many requests as the limit allows, and none at once when it is named', async () => {
	const fixture = start();
	name(fixture, 2);
	expect(fixture.limits.hasPermit(upstream)).toBe(false);
	expect(await countSends(fixture, 10)).toBe(20);
});

// Guards against: each host keeps to the limit by itself, so that all together exceed it.
test('a host that is not chosen for a limited upstream sends nothing there, one of several its part', async () => {
	const other = start({hosts: 7, isChosen: false});
	name(other, 3.6);
	expect(await countSends(other, 10)).toBe(0);
	expect(other.limits.getWait(upstream, 1)).toBe(Number.POSITIVE_INFINITY);
	const chosen = start({hosts: 7});
	name(chosen, 4);
	expect(await countSends(chosen, 10)).toBe(10);
});

// Guards against: a request counts when it ends or is chosen, so that those which wait for a connection are sent on top.
test('a request that was chosen before the limit was known needs a permit when it is sent', () => {
	const fixture = start();
	const claims = [1, 2, 3].map(() => fixture.limits.claim(upstream));
	name(fixture, 1);
	expect(claims.map(claim => claim.take())).toEqual([false, false, false]);
});

test('requests that have claimed a permit and not been sent leave none for others', async () => {
	const fixture = start();
	name(fixture, 1);
	await fixture.clock.advance(1000);
	const claim = fixture.limits.claim(upstream);
	expect(fixture.limits.hasPermit(upstream)).toBe(false);
	claim.release();
	claim.release();
	expect(fixture.limits.hasPermit(upstream)).toBe(true);
});

// Guards against: an answer that was under way when the limit was named ends it, or the last value that arrives is believed.
test('only an answer to a later request ends a limit, and older news of other hosts changes nothing', async () => {
	const {limits, clock} = start();
	await clock.advance(1000);
	limits.observe({upstream, statement: {kind: 'rate', perSecond: 2}, sentAt: 1900});
	limits.observe({upstream, statement: {kind: 'none'}, sentAt: 1900});
	expect(limits.isLimited(upstream)).toBe(true);
	limits.applyNews({upstream, limit: 50, age: 500}, 'h');
	expect(limits.getLimit(upstream)).toBe(2);
	expect(limits.getNews()).toEqual([{upstream, limit: 2, age: 0}]);
	await clock.advance(100);
	limits.applyNews({upstream, limit: 3, age: 20}, 'h');
	expect(limits.getLimit(upstream)).toBe(3);
	limits.observe({upstream, statement: {kind: 'none'}, sentAt: 2090});
	expect(limits.isLimited(upstream)).toBe(false);
	limits.applyNews({upstream, limit: 3, age: 20}, 'h');
	expect(limits.isLimited(upstream)).toBe(false);
});

// Guards against: an upstream's mistake lifts its limit, or stops its service.
test('what is no limit changes nothing', () => {
	const fixture = start();
	const {limits, clock} = fixture;
	limits.observe({upstream, statement: {kind: 'malformed', text: 'few'}, sentAt: clock.monotonic()});
	expect(limits.isLimited(upstream)).toBe(false);
	name(fixture, 2);
	limits.observe({upstream, statement: {kind: 'malformed', text: '1e400'}, sentAt: clock.monotonic() + 1});
	expect(limits.getNews()).toMatchObject([{limit: 2}]);
});

// Guards against: nobody learns that a limit of 0 has ended, as nobody may send.
test('an upstream that takes no requests gets one now and then, to learn when it takes some again', async () => {
	const fixture = start({hosts: 7});
	name(fixture, 0);
	const sent = await countSends(fixture, 60);
	expect(sent).toBeGreaterThanOrEqual(5);
	expect(sent).toBeLessThanOrEqual(6);
});

test('the other hosts are told when a limit begins, changes and ends, not of each answer', async () => {
	const fixture = start();
	const {limits, clock, announced} = fixture;
	for (const perSecond of [2, 2, 1, 1]) {
		name(fixture, perSecond);
	}

	await clock.advance(10);
	limits.observe({upstream, statement: {kind: 'none'}, sentAt: clock.monotonic()});
	expect(announced.map(({limit}) => limit)).toEqual([2, 1, undefined]);
	expect(limits.getNews()).toEqual([{upstream, limit: undefined, age: 0}]);
	await clock.advance(20_000);
	expect(limits.getNews()).toEqual([]);
});

// Guards against: hosts pass on what others told them, so that an old limit looks newer with each report and comes back after its end.
test('a host repeats only what an answer has told it itself, and not once others know better', async () => {
	const told = start();
	told.limits.applyNews({upstream, limit: 2, age: 10}, 'h');
	expect(told.limits.isLimited(upstream)).toBe(true);
	expect(told.limits.getNews()).toEqual([]);
	const own = start();
	name(own, 2);
	await own.clock.advance(100);
	own.limits.applyNews({upstream, limit: undefined, age: 10}, 'h');
	expect(own.limits.isLimited(upstream)).toBe(false);
	expect(own.limits.getNews()).toEqual([]);
});

// Guards against: a host that was away when a limit ended keeps to it for ever, as it sends nothing there itself.
test('the end of a limit is repeated for as long as answers confirm it', async () => {
	const fixture = start();
	const {limits, clock, announced} = fixture;
	const away = start({hosts: 7, isChosen: false});
	name(fixture, 2);
	name(away, 2);
	for (let step = 0; step < 10; step++) {
		// eslint-disable-next-line no-await-in-loop -- The clock advances in steps.
		await clock.advance(5000);
		limits.observe({upstream, statement: {kind: 'none'}, sentAt: clock.monotonic()});
	}

	expect(announced.map(({limit}) => limit)).toEqual([2, undefined]);
	await away.clock.advance(50_000);
	for (const news of limits.getNews()) {
		away.limits.applyNews(news, 'h');
	}

	expect(away.limits.isLimited(upstream)).toBe(false);
});

test('a removed upstream, and another incarnation of it, are not limited', () => {
	const fixture = start();
	name(fixture, 1);
	expect(fixture.limits.isLimited('u@2')).toBe(false);
	fixture.limits.remove(upstream);
	expect(fixture.limits.isLimited(upstream)).toBe(false);
});

const fleets = [
	{
		hosts: 7, reportDelay: 10, demand: 30, limits: [1, 2.3, 3.6, 12],
	},
	{
		hosts: 75, reportDelay: 90, demand: 300, limits: [1, 3.6],
	},
	{
		hosts: 300, reportDelay: 150, demand: 600, limits: [3.6],
	},
] as const;

// Guards against: the hosts of a fleet exceed a limit together, or leave most of it unused.
test('a fleet of any size keeps to the limits of the users and uses them, also where news is lost', async () => {
	for (const {limits, ...fleet} of fleets) {
		for (const limit of limits) {
			// eslint-disable-next-line no-await-in-loop -- One day at a time.
			const {mostArrivals, usedFraction} = await playLimitDay({
				...fleet, limit, lossRatio: 0.2, seed: 1,
			});
			const description = `${fleet.hosts} hosts, limit ${limit}`;
			expect(mostArrivals, description).toBeLessThanOrEqual(getAllowedArrivals(limit));
			expect(usedFraction, description).toBeGreaterThan(0.5);
		}
	}
});

test('all hosts of a fleet learn that a limit has ended', async () => {
	for (const {hosts, reportDelay, demand} of fleets.slice(0, 2)) {
		for (let seed = 1; seed <= 5; seed++) {
			// eslint-disable-next-line no-await-in-loop -- One day at a time.
			const {limitedHosts} = await playLimitDay({
				hosts, reportDelay, demand, limit: 3.6, endsAt: 8000, lossRatio: 0.2, seed,
			});
			expect(limitedHosts, `${hosts} hosts, seed ${seed}`).toBe(0);
		}
	}
});

// Guards against: while a host that has failed or started again is known to some only, several use the same part of a limit.
test('a fleet keeps to a limit while its hosts start again', async () => {
	for (let seed = 1; seed <= 10; seed++) {
		const restarts = Array.from({length: 7}, (_, host) => ({host, downAt: 5000 + (host * 2500), upAt: 6000 + (host * 2500)}));
		// eslint-disable-next-line no-await-in-loop -- One day at a time.
		const {mostArrivals} = await playLimitDay({
			hosts: 7, reportDelay: 10, demand: 30, limit: 2, lossRatio: 0.2, seed, restarts,
		});
		expect(mostArrivals, `seed ${seed}`).toBeLessThanOrEqual(getAllowedArrivals(2));
	}
});
