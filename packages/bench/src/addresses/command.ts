import process from 'node:process';
import {Agent, request as createRequest, type IncomingMessage} from 'node:http';
import {finished} from 'node:stream/promises';
import {createSystemClock, type Clock} from '@gentianlift/clock';
import type {Address, Milliseconds} from '@gentianlift/types';
import {defineCommand} from 'citty';
import {
	startPassingHost, startRedirectingHost, startServingHost, zoneRoundTrip, type Host,
} from './hosts.js';

type Way = {name: string; address: Address; agent: Agent; extraTrips: number};
type Times = {first: Milliseconds[]; processor: number};

const microsecondsPerMillisecond = 1000;

const send = async (address: Address, agent: Agent): Promise<IncomingMessage> => new Promise((resolve, reject) => {
	const [host, port] = address.split(':');
	createRequest({
		host, port, agent, method: 'POST', path: '/',
	}, resolve).on('error', reject).end();
});

const runRequest = async ({address, agent, extraTrips}: Way, clock: Clock): Promise<Milliseconds> => {
	const start = clock.monotonic();
	const first = await send(address, agent);
	const {location} = first.headers;
	let answer = first;
	if (location !== undefined) {
		first.resume();
		await clock.sleep(extraTrips * zoneRoundTrip);
		answer = await send(new URL(location).host, agent);
	}

	const after = clock.monotonic() - start;
	answer.resume();
	await finished(answer);
	return after;
};

const measure = async (way: Way, count: number, clock: Clock): Promise<Times> => {
	const first: Milliseconds[] = [];
	const start = process.cpuUsage();
	for (let sent = 0; sent < count; sent++) {
		// eslint-disable-next-line no-await-in-loop -- One request after another, so that none waits for another.
		first.push(await runRequest(way, clock));
	}

	const {user, system} = process.cpuUsage(start);
	return {first: first.toSorted((one, other) => one - other), processor: (user + system) / microsecondsPerMillisecond / count};
};

const getWays = (right: Host, passing: Host, redirecting: Host): Way[] => [
	{
		name: 'the host reached serves', address: right.address, agent: new Agent({keepAlive: true}), extraTrips: 0,
	},
	{
		name: 'it passes the request on', address: passing.address, agent: new Agent({keepAlive: true}), extraTrips: 0,
	},
	{
		name: 'it names the right host, connection open', address: redirecting.address, agent: new Agent({keepAlive: true}), extraTrips: 1,
	},
	{
		name: 'it names the right host, new connection', address: redirecting.address, agent: new Agent({keepAlive: false}), extraTrips: 2,
	},
];

/** Measures a stream of 100 events served by the host reached, through a second host, and after a redirect. */
export const addresses = defineCommand({
	meta: {name: 'addresses', description: 'What passing a request on costs against naming the right host'},
	args: {
		count: {type: 'string', description: 'Requests of each way', default: '1000'},
	},
	async run({args}) {
		const clock = createSystemClock();
		const right = await startServingHost();
		const others = [await startPassingHost(right.address, clock), await startRedirectingHost(right.address)] as const;
		console.log('| way | first byte p50 ms | first byte p99 ms | processor ms a request, caller and hosts |');
		console.log('| --- | --- | --- | --- |');
		for (const way of getWays(right, ...others)) {
			// eslint-disable-next-line no-await-in-loop -- One way at a time.
			const {first, processor} = await measure(way, Number(args.count), clock);
			const getPercentile = (share: number): string => (first[Math.floor(first.length * share)] ?? 0).toFixed(2);
			console.log(`| ${way.name} | ${getPercentile(0.5)} | ${getPercentile(0.99)} | ${processor.toFixed(2)} |`);
			way.agent.destroy();
		}

		for (const host of [right, ...others]) {
			host.close();
		}
	},
});
