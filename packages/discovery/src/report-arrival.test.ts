import {createSocket, type Socket} from 'node:dgram';
import process from 'node:process';
import {createManualClock} from '@gentianlift/clock';
import {type StartedStream} from '@gentianlift/routing';
import type {Milliseconds} from '@gentianlift/types';
import {expect, onTestFinished, test} from 'vitest';
import {
	exchangeReports, type LoadReportExchange, type ReportArrival, type ReportExchangeOptions,
} from './exchange-reports.js';
import type {HostRecord} from './host-record.js';
import type {LoadReport} from './load-report.js';
import {decodePacket, encodePacket, forwardScope} from './packet.js';
import {buildExchangeOptions} from './testing-exchange.js';

/** Loopback address derived from the process id, as test processes may run in parallel. */
const loopback = `127.2.${process.pid % 250}.${1 + (Math.floor(process.pid / 250) % 250)}`;
const port = 19_900;
/** Time on the clock of the receiving host. */
const currentTime: Milliseconds = 1000;

const own: HostRecord = {
	host: 'own', incarnation: 1, zone: 'a', callers: `${loopback}:1`, peers: `${loopback}:2`, notes: `${loopback}:${port}`, strength: 1, isStopping: false,
};

/** Starts the exchange of a host that knows the other hosts. */
const startExchange = (changes: Partial<ReportExchangeOptions>): LoadReportExchange => {
	const exchange = exchangeReports(buildExchangeOptions({
		own, getOthers: () => [], clock: createManualClock(currentTime), ...changes,
	}));
	onTestFinished(exchange.close);
	return exchange;
};

/** Starts a host that receives load reports, and returns the lists of their arrivals and of the streams that they name. */
const startReceiver = (): {arrivals: ReportArrival[]; streams: StartedStream[]} => {
	const arrivals: ReportArrival[] = [];
	const streams: StartedStream[] = [];
	startExchange({
		onReport(arrival) {
			arrivals.push(arrival);
		},
		onStream(stream) {
			streams.push(stream);
		},
	});
	return {arrivals, streams};
};

const openSender = (): Socket => {
	const sender = createSocket('udp4');
	onTestFinished(() => {
		sender.close();
	});
	return sender;
};

const createReport = (change: Partial<LoadReport>): LoadReport => ({
	host: 'h', incarnation: 1, sequence: 1, revision: 1, isStopping: false, loads: [], prefills: [], crashes: [], goodEnds: [], limits: [], streams: [], leaving: [], ...change,
});

const sendReports = (sender: Socket, reports: LoadReport[]): void => {
	sender.send(encodePacket({
		sender: 'h', forwardTo: forwardScope.none, reports, batches: [],
	}), port, loopback);
};

test('the age of a report is known when it arrives, and is 0 if the clock of its host is ahead', async () => {
	const {arrivals} = startReceiver();
	sendReports(openSender(), [
		createReport({sequence: 1, builtAt: currentTime - 30}),
		createReport({sequence: 2, builtAt: currentTime + 5000}),
		createReport({sequence: 3}),
	]);
	await expect.poll(() => arrivals).toEqual([
		{outcome: 'applied', age: 30},
		{outcome: 'applied', age: 0},
		{outcome: 'applied', age: undefined},
	]);
});

test('reports that arrive out of order are told apart from those that are applied', async () => {
	const {arrivals} = startReceiver();
	sendReports(openSender(), [
		createReport({sequence: 2, builtAt: currentTime - 10}),
		createReport({sequence: 1, builtAt: currentTime - 90}),
		createReport({sequence: 2}),
		createReport({host: own.host}),
		createReport({sequence: 3}),
	]);
	await expect.poll(() => arrivals).toEqual([
		{outcome: 'applied', age: 10},
		{outcome: 'out-of-order', age: 90},
		{outcome: 'out-of-order', age: undefined},
		{outcome: 'applied', age: undefined},
	]);
});

// Guards against: a host doesn't know where a stream began, because the report that says so was overtaken by a later one.
test('the streams of a report count even if it arrives out of order', async () => {
	const {streams} = startReceiver();
	const stream = {request: 'a1', service: 's', softwareVersion: 'v1'};
	sendReports(openSender(), [createReport({sequence: 2}), createReport({sequence: 1, streams: [stream]})]);
	await expect.poll(() => streams).toEqual([stream]);
});

// Guards against: a lost datagram leaves the other hosts without the origin of a stream.
test('a stream is named in the next report, and once more in a full one', async () => {
	const receiver = createSocket('udp4');
	const named: string[][] = [];
	receiver.on('message', bytes => {
		named.push((decodePacket(bytes.toString())?.reports ?? []).flatMap(({streams}) => streams.map(({request}) => request)));
	});
	await new Promise<void>(resolve => {
		receiver.bind(port + 1, loopback, resolve);
	});
	const clock = createManualClock(currentTime);
	const exchange = startExchange({
		own: {...own, notes: `${loopback}:${port + 2}`},
		getOthers: () => [{...own, host: 'other', notes: `${loopback}:${port + 1}`}],
		clock,
	});
	onTestFinished(() => {
		receiver.close();
	});
	exchange.addStream({request: 'a1', service: 's', softwareVersion: 'v1'});
	await clock.advance(10);
	await expect.poll(() => named).toEqual([['a1']]);
	await clock.advance(500);
	await expect.poll(() => named).toEqual([['a1'], ['a1']]);
	await clock.advance(500);
	await expect.poll(() => named).toEqual([['a1'], ['a1'], []]);
});

// Guards against: a host that is behind asks only hosts that are gone, as they were the last to report a newer revision.
test('the revision of a host counts as long as its reports are recent', async () => {
	const clock = createManualClock(currentTime);
	const exchange = startExchange({clock});
	expect(exchange.getRevisionOf('h')).toBe(0);
	sendReports(openSender(), [createReport({revision: 7})]);
	await expect.poll(() => exchange.getRevisionOf('h')).toBe(7);
	await clock.advance(1900);
	expect(exchange.getRevisionOf('h')).toBe(7);
	await clock.advance(200);
	expect(exchange.getRevisionOf('h')).toBe(0);
});

test('the newest configuration version that hosts report is known, also beside hosts that report none', async () => {
	const exchange = startExchange({});
	expect(exchange.getNewestConfigurationVersion()).toBeUndefined();
	sendReports(openSender(), [createReport({host: 'h1', configurationVersion: 7}), createReport({host: 'h2', configurationVersion: 6}), createReport({host: 'h3'})]);
	await expect.poll(() => [exchange.getRevisionOf('h2'), exchange.getRevisionOf('h3'), exchange.getNewestConfigurationVersion()]).toEqual([1, 1, 7]);
	expect(exchange.getConfigurationVersionOf('h2')).toBe(6);
});
