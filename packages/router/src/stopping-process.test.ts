import {setTimeout as sleep} from 'node:timers/promises';
import {expect, onTestFinished, test} from 'vitest';
import type {Milliseconds} from '@gentianlift/types';
import {readStatus, startHostProcess, type HostProcess} from './testing/host-process.js';
import {openPreparedConnection, type CallerResult} from './testing/prepared-connection.js';
import {startPlatform, type TestPlatform} from './testing/start-fleet.js';

/** Booking of a caller around the stop of a host, and whether a service ran it. */
type Booking = {key: string; result: CallerResult; ran: boolean};

const hostCount = 8;
/** Factor of the services' usual time, so that a host has moments without an open booking. */
const slowFactor = 0.1;
/** Time after SIGTERM at which the bookings begin; the listener closes at 2600 ms. */
const bookingsFrom: Milliseconds = 2500;
const bookingInterval: Milliseconds = 100;
const connectionsPerHost = 16;
const stopInterval: Milliseconds = 300;

const startHosts = async ({settings}: TestPlatform): Promise<HostProcess[]> => {
	const hosts = await Promise.all(settings.map(async document => startHostProcess(document)));
	onTestFinished(() => {
		for (const {sendSignal} of hosts) {
			sendSignal('SIGKILL');
		}
	});
	await Promise.all(hosts.map(async ({settings: {operatorAddress}}) => {
		await expect.poll(async () => readStatus(`http://${operatorAddress}/ready`)).toBe(200);
	}));
	return hosts;
};

const startServices = async (count: number): Promise<TestPlatform> => {
	const platform = await startPlatform(count, {logLevel: 'info'});
	onTestFinished(platform.fakes.close);
	for (const {faults} of platform.fakes.services.values()) {
		faults.slowFactor = slowFactor;
	}

	return platform;
};

/** Stops a host, and sends a booking on one connection after the other until it has exited. */
const stopUnderBookings = async (host: HostProcess, apiKey: string): Promise<Array<Omit<Booking, 'ran'>>> => {
	const connections = await Promise.all(Array.from({length: connectionsPerHost}, async () => openPreparedConnection(host.settings.callerAddress)));
	host.sendSignal('SIGTERM');
	await sleep(bookingsFrom);
	return Promise.all(connections.map(async (connection, index) => {
		await sleep(index * bookingInterval);
		const key = `${host.settings.host}-${index}`;
		const result = await connection.send({
			method: 'POST', path: '/v1/services/orders/cut-orders', body: `{"bar":"${key}"}`, headers: {authorization: `Bearer ${apiKey}`, 'idempotency-key': key},
		});
		connection.close();
		return {key, result};
	}));
};

const stopAll = async ({key, fakes}: TestPlatform, hosts: HostProcess[]): Promise<Booking[]> => {
	const stops = await Promise.all(hosts.map(async (host, index) => {
		await sleep(index * stopInterval);
		return stopUnderBookings(host, key);
	}));
	const executed = new Set([...fakes.services.values()].flatMap(({calls}) => calls.map(({idempotencyKey}) => idempotencyKey)));
	return stops.flat().map(booking => ({...booking, ran: executed.has(booking.key)}));
};

const describeResult = (result: CallerResult): string => result.kind === 'answered' ? `${result.status} ${result.ran} ${result.errorKind}`.trim() : result.kind;

const countResults = (bookings: Booking[]): Record<string, number> => {
	const counts: Record<string, number> = {};
	for (const {result, ran} of bookings) {
		const name = `${describeResult(result)}, ${ran ? 'ran' : 'did not run'}`;
		counts[name] = (counts[name] ?? 0) + 1;
	}

	return counts;
};

// Guards against: a booking that arrives on an open connection after the host has decided to end is passed on and cut as the process exits.
test.each([0, 150])('a host that stops under bookings answers each that ran, and refuses the others as not run, with a store that takes %i ms', async storeLatency => {
	const platform = await startServices(hostCount);
	const hosts = await startHosts(platform);
	platform.fakes.keyValue.faults.latencyMs = storeLatency;
	const bookings = await stopAll(platform, hosts);
	const exits = await Promise.all(hosts.map(async ({exited}) => exited));
	expect(exits.map(({outcome}) => outcome)).toEqual(hosts.map(() => 0));
	expect(bookings.filter(({ran, result}) => ran && describeResult(result) !== '200 ran')).toEqual([]);
	expect(countResults(bookings)).toHaveProperty('200 ran, ran');
});
