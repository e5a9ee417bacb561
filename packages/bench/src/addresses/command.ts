import process from 'node:process';
import {Agent, request as createRequest, type IncomingMessage} from 'node:http';
import {finished} from 'node:stream/promises';
import {createSystemClock, type Clock} from '@gentianlift/clock';
import type {Address, Milliseconds} from '@gentianlift/types';
import {defineCommand} from 'citty';
import {
	startForwardingHost, startRedirectingHost, startServingHost, zoneRoundTrip, type Host,
} from './hosts.js';

/** Way of reaching the responsible host; `extraRoundTrips` counts the trips between zones that a redirect adds. */
type RoutingWay = {name: string; address: Address; agent: Agent; extraRoundTrips: number};
/** Times to the first byte in ascending order, and processor time per request in milliseconds over all processes involved. */
type WayTimes = {firstByteTimes: Milliseconds[]; processorPerRequest: number};

const microsecondsPerMillisecond = 1000;

const send = async (address: Address, agent: Agent): Promise<IncomingMessage> => new Promise((resolve, reject) => {
	const [host, port] = address.split(':');
	createRequest({
		host, port, agent, method: 'POST', path: '/',
	}, resolve).on('error', reject).end();
});

const runRequest = async ({address, agent, extraRoundTrips}: RoutingWay, clock: Clock): Promise<Milliseconds> => {
	const start = clock.monotonic();
	const firstAnswer = await send(address, agent);
	const {location} = firstAnswer.headers;
	let answer = firstAnswer;
	if (location !== undefined) {
		firstAnswer.resume();
		await clock.sleep(extraRoundTrips * zoneRoundTrip);
		answer = await send(new URL(location).host, agent);
	}

	const firstByteAfter = clock.monotonic() - start;
	answer.resume();
	await finished(answer);
	return firstByteAfter;
};

const measure = async (way: RoutingWay, count: number, clock: Clock): Promise<WayTimes> => {
	const firstByteTimes: Milliseconds[] = [];
	const start = process.cpuUsage();
	for (let sent = 0; sent < count; sent++) {
		// eslint-disable-next-line no-await-in-loop -- Requests run one after another, so that none queues behind another.
		firstByteTimes.push(await runRequest(way, clock));
	}

	const {user, system} = process.cpuUsage(start);
	return {firstByteTimes: firstByteTimes.toSorted((left, right) => left - right), processorPerRequest: (user + system) / microsecondsPerMillisecond / count};
};

const createWays = (target: Host, forwarding: Host, redirecting: Host): RoutingWay[] => [
	{
		name: 'the host reached serves', address: target.address, agent: new Agent({keepAlive: true}), extraRoundTrips: 0,
	},
	{
		name: 'it passes the request on', address: forwarding.address, agent: new Agent({keepAlive: true}), extraRoundTrips: 0,
	},
	{
		name: 'it names the right host, connection open', address: redirecting.address, agent: new Agent({keepAlive: true}), extraRoundTrips: 1,
	},
	{
		name: 'it names the right host, new connection', address: redirecting.address, agent: new Agent({keepAlive: false}), extraRoundTrips: 2,
	},
];

/** Compares ways to serve a stream of 100 events: by the host reached, forwarded by it to the responsible host, and by the responsible host after a redirect. */
export const addresses = defineCommand({
	meta: {name: 'addresses', description: 'What passing a request on costs against naming the right host'},
	args: {
		count: {type: 'string', description: 'Requests of each way', default: '1000'},
	},
	async run({args}) {
		const clock = createSystemClock();
		const target = await startServingHost();
		const otherHosts = [await startForwardingHost(target.address, clock), await startRedirectingHost(target.address)] as const;
		console.log('| way | first byte p50 ms | first byte p99 ms | processor ms a request, caller and hosts |');
		console.log('| --- | --- | --- | --- |');
		for (const way of createWays(target, ...otherHosts)) {
			// eslint-disable-next-line no-await-in-loop -- Ways are measured one at a time.
			const {firstByteTimes, processorPerRequest} = await measure(way, Number(args.count), clock);
			const getPercentile = (ratio: number): string => (firstByteTimes[Math.floor(firstByteTimes.length * ratio)] ?? 0).toFixed(2);
			console.log(`| ${way.name} | ${getPercentile(0.5)} | ${getPercentile(0.99)} | ${processorPerRequest.toFixed(2)} |`);
			way.agent.destroy();
		}

		for (const host of [target, ...otherHosts]) {
			host.close();
		}
	},
});
