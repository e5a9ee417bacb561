import {driveLoadFromProcesses} from './figures.js';
import type {TestSetup} from './rig.js';

/** Requests or events per second through the relay and through the router. */
export type ThroughputMeasurement = {relay: number; router: number; failures: number};

const millisecondsPerSecond = 1000;
const warmUpMs = 1500;
const durationMs = 5000;
const driverProcesses = 3;

/** Measures requests per second in a closed loop, with answers of one token that aren't streamed. */
export const measureRequests = async (setup: TestSetup, callers: number): Promise<ThroughputMeasurement> => {
	const driveAddress = async (address: string) => driveLoadFromProcesses(driverProcesses, {
		address, streams: callers, tokens: 1, stream: false, warmUp: warmUpMs, duration: durationMs,
	});
	const relay = await driveAddress(setup.relay);
	const router = await driveAddress(setup.router.settings.callerAddress);
	const seconds = durationMs / millisecondsPerSecond;
	return {relay: relay.answers / seconds, router: router.answers / seconds, failures: relay.failures + router.failures};
};

/** Measures events per second of long streams; the engines produce more events than one process can relay. */
export const measureEvents = async (setup: TestSetup, streams: number): Promise<ThroughputMeasurement> => {
	const driveAddress = async (address: string) => driveLoadFromProcesses(driverProcesses, {
		address, streams, tokens: 1_000_000, stream: true, warmUp: warmUpMs, duration: durationMs,
	});
	const relay = await driveAddress(setup.relay);
	const router = await driveAddress(setup.router.settings.callerAddress);
	const seconds = durationMs / millisecondsPerSecond;
	return {relay: relay.events / seconds, router: router.events / seconds, failures: 0};
};
