import {createSocket, type Socket} from 'node:dgram';
import process from 'node:process';
import {createManualClock, type ManualClock} from '@gentianlift/clock';
import {
	createCrashSuspects, getPartSuspect, type CrashSuspects, type LimitNews,
} from '@gentianlift/routing';
import {expect, onTestFinished, test} from 'vitest';
import {exchangeReports, type LoadReportExchange, type ReportExchangeOptions} from './exchange-reports.js';
import {chooseHosts} from './host-list.js';
import type {HostRecord} from './host-record.js';
import type {LoadReport} from './load-report.js';
import {decodePacket, encodePacket, forwardScope} from './packet.js';
import {buildExchangeOptions} from './testing-exchange.js';

/** Loopback address derived from the process id, as test processes may run in parallel. */
const loopback = `127.3.${process.pid % 250}.${1 + (Math.floor(process.pid / 250) % 250)}`;
const ports = {own: 19_910, other: 19_911} as const;
const suspect = getPartSuspect('p');

const createRecord = (host: string, port: number): HostRecord => ({
	host, incarnation: 1, zone: 'a', callers: `${loopback}:1`, peers: `${loopback}:2`, notes: `${loopback}:${port}`, strength: 1, isStopping: false,
});

/** A host, and a socket in place of the only other one. */
type Fixture = {clock: ManualClock; suspects: CrashSuspects; exchange: LoadReportExchange; other: Socket; reports: LoadReport[]};

const start = async (changes: Partial<ReportExchangeOptions> = {}): Promise<Fixture> => {
	const clock = createManualClock(1000);
	const suspects = createCrashSuspects();
	const reports: LoadReport[] = [];
	const other = createSocket('udp4');
	other.on('message', bytes => {
		reports.push(...decodePacket(bytes.toString())?.reports ?? []);
	});
	await new Promise<void>(resolve => {
		other.bind(ports.other, loopback, resolve);
	});
	const exchange = exchangeReports(buildExchangeOptions({
		own: createRecord('own', ports.own), getOthers: () => [createRecord('other', ports.other)], clock, suspects, ...changes,
	}));
	onTestFinished(() => {
		exchange.close();
		other.close();
	});
	return {
		clock, suspects, exchange, other, reports,
	};
};

const tell = ({other}: Fixture, changes: Partial<LoadReport>): void => {
	const report = {
		host: 'other', incarnation: 1, sequence: 1, revision: 1, isStopping: false, loads: [], prefills: [], crashes: [], goodEnds: [], limits: [], streams: [], leaving: [], ...changes,
	};
	other.send(encodePacket({
		sender: 'other', forwardTo: forwardScope.none, reports: [report], batches: [],
	}), ports.own, loopback);
};

// Guards against: a host goes on sending what has crashed engines at others, as their news is ignored, late or out of order.
test('crashes that other hosts report block a part, also in a report that was overtaken', async () => {
	const fixture = await start();
	tell(fixture, {sequence: 2, crashes: [{suspect, upstream: 'a@1', age: 400}]});
	tell(fixture, {sequence: 1, crashes: [{suspect, upstream: 'b@1', age: 0}]});
	await expect.poll(() => fixture.suspects.isBlocked(suspect, 1000)).toBe(true);
});

// Guards against: a host takes an upstream that others have found crashed, and that has started again, for what its entry says.
test('each crash that another host reports is told once', async () => {
	const told: unknown[] = [];
	const fixture = await start({
		onCrash(crash) {
			told.push(crash);
		},
	});
	const crash = {suspect, upstream: 'a@1', age: 400};
	tell(fixture, {sequence: 1, crashes: [crash]});
	tell(fixture, {sequence: 2, crashes: [crash, {suspect, upstream: 'b@1', age: 0}]});
	await expect.poll(() => told).toEqual([crash, {suspect, upstream: 'b@1', age: 0}]);
});

// Guards against: a host that has seen no good end of a part that is in all requests blocks it.
test('a host that knows a good end tells it when a crash becomes known, and takes what others tell', async () => {
	const fixture = await start();
	const {clock, suspects, reports, exchange} = fixture;
	suspects.addGoodEnd(suspect, 500);
	tell(fixture, {crashes: [{suspect, upstream: 'a@1', age: 0}]});
	await expect.poll(() => suspects.isSuspected(suspect, 1000)).toBe(true);
	await clock.advance(5);
	await expect.poll(() => reports.at(0)?.goodEnds).toEqual([{suspect, age: 503}]);
	const own = getPartSuspect('q');
	exchange.addCrash({suspect: own, upstream: 'a@1', age: 0});
	suspects.addCrash({suspect: own, upstream: 'a@1', age: 0}, 1005);
	tell(fixture, {sequence: 2, goodEnds: [{suspect: own, age: 0}]});
	await expect.poll(() => suspects.isSuspected(own, 1005)).toBe(false);
});

// Guards against: a host that has missed the good end of a wrongly blocked part blocks it for as long as its requests come.
test('a host answers another one that still repeats an explained crash, with the good end that it has seen itself', async () => {
	const fixture = await start();
	const {clock, suspects, reports} = fixture;
	suspects.addCrash({suspect, upstream: 'a@1', age: 0}, 0);
	suspects.addGoodEnd(suspect, 500);
	const told = getPartSuspect('told');
	suspects.addCrash({suspect: told, upstream: 'a@1', age: 0}, 0);
	tell(fixture, {sequence: 1, goodEnds: [{suspect: told, age: 0}]});
	await expect.poll(() => suspects.isSuspected(told, 1000)).toBe(false);
	const getGoodEnds = (): string[] => reports.flatMap(({goodEnds}) => goodEnds).map(goodEnd => goodEnd.suspect);
	await clock.advance(9000);
	expect(getGoodEnds()).toEqual([]);
	for (let sequence = 2; sequence < 5; sequence++) {
		tell(fixture, {sequence, crashes: [{suspect, upstream: 'a@1', age: 10_000}, {suspect: told, upstream: 'a@1', age: 10_000}]});
	}

	await expect.poll(async () => {
		await clock.advance(4);
		return getGoodEnds();
	}).toEqual([suspect]);
});

// Guards against: three hosts that have started again send what the fleet has blocked long ago.
test('full reports repeat the crashes of a part whose requests still come', async () => {
	const {clock, suspects, reports} = await start();
	suspects.addCrash({suspect, upstream: 'a@1', age: 0}, 0);
	suspects.addCrash({suspect, upstream: 'b@1', age: 0}, 500);
	suspects.recordRequest(suspect, 1000);
	await clock.advance(60_000);
	await expect.poll(() => reports.length).toBeGreaterThan(100);
	expect(reports.slice(0, 100).every(({crashes}) => crashes.length === 2)).toBe(true);
	expect(reports[0]?.crashes.map(({age}) => age)).toEqual([1500, 1000]);
});

// Guards against: a lost datagram leaves hosts without the news of a crash.
test('a crash is told at once, and again in three full reports with its age', async () => {
	const {clock, exchange, reports} = await start();
	exchange.addCrash({suspect, upstream: 'a@1', age: 0});
	for (let step = 0; step < 250; step++) {
		// eslint-disable-next-line no-await-in-loop -- The clock advances in steps.
		await clock.advance(10);
	}

	const getAges = (): number[] => reports.flatMap(({crashes}) => crashes).map(({age}) => age);
	await expect.poll(getAges).toHaveLength(4);
	expect(getAges()[0]).toBeLessThan(20);
	expect(getAges()[3]).toBeGreaterThan(1000);
});

// Guards against: a host learns of a limit only by its own requests.
test('a limit is told at once and repeated, and taken from a report that was overtaken', async () => {
	const told: LimitNews[] = [];
	const known: LimitNews = {upstream: 'u@1', limit: 2, age: 100};
	const fixture = await start({
		getLimits: () => [known],
		onLimit(news) {
			told.push(news);
		},
	});
	const {clock, exchange, reports} = fixture;
	exchange.addLimit({upstream: 'u@1', limit: 2, age: 0});
	await clock.advance(10);
	await expect.poll(() => reports.at(0)?.limits).toEqual([{upstream: 'u@1', limit: 2, age: 3}]);
	await clock.advance(1000);
	await expect.poll(() => reports.map(({limits}) => limits).slice(1)).toEqual([[known], [known]]);
	tell(fixture, {sequence: 2});
	tell(fixture, {sequence: 1, limits: [{upstream: 'v@1', limit: undefined, age: 5}]});
	await expect.poll(() => told).toEqual([{upstream: 'v@1', limit: undefined, age: 5}]);
});

// Guards against: a host goes on sending to an engine that has told another host that it leaves.
test('an upstream that leaves is told at once and repeated, and taken from a report that was overtaken', async () => {
	const told: string[] = [];
	const fixture = await start({
		onLeaving(upstream, from) {
			told.push(`${upstream} from ${from}`);
		},
	});
	const {clock, reports, exchange} = fixture;
	exchange.addLeaving('u@1');
	await clock.advance(5);
	await expect.poll(() => reports.at(0)?.leaving).toEqual(['u@1']);
	await clock.advance(500);
	await expect.poll(() => reports.at(1)?.leaving).toEqual(['u@1']);
	tell(fixture, {sequence: 2});
	tell(fixture, {sequence: 1, leaving: ['v@1']});
	await expect.poll(() => told).toEqual(['v@1 from other']);
});

// Guards against: hosts whose names differ in their last letters only are chosen much more often than others, and get most of the limited engines.
test('hosts with similar names are chosen about equally often', () => {
	for (const count of [7, 75]) {
		const hosts = Array.from({length: count}, (_, index) => createRecord(`router-north-zone-a-${index}`, 1));
		const chosen = Array.from({length: count * 200}, (_, index) => chooseHosts(`limit:i-${(index * 7919).toString(16)}@${1_772_304_900_000 + index}`, hosts, 1)[0]);
		for (const {host} of hosts) {
			const share = chosen.filter(name => name === host).length / 200;
			expect(share, host).toBeGreaterThan(0.5);
			expect(share, host).toBeLessThan(2);
		}
	}
});

test('all hosts choose the same hosts for a key, and different ones for different keys', () => {
	const hosts = ['a', 'b', 'c', 'd', 'e'].map(name => createRecord(name, 1));
	const keys = Array.from({length: 50}, (_, index) => `part:${index}`);
	expect(keys.map(key => chooseHosts(key, hosts, 2))).toEqual(keys.map(key => chooseHosts(key, hosts.toReversed(), 2)));
	expect(new Set(keys.flatMap(key => chooseHosts(key, hosts, 1))).size).toBe(5);
	expect(keys.every(key => chooseHosts(key, hosts, 3)[0] === chooseHosts(key, hosts, 1)[0])).toBe(true);
});
