import {driveFrom} from './figures.js';
import type {Rig} from './rig.js';

/** Requests or events a second through each way. */
export type ThroughputRun = {relay: number; router: number; failures: number};

const millisecondsPerSecond = 1000;
const warmUp = 1500;
const duration = 5000;
const driverProcesses = 3;

/** Measures whole answers of one token, in a closed loop. */
export const measureRequests = async (rig: Rig, callers: number): Promise<ThroughputRun> => {
	const run = async (address: string) => driveFrom(driverProcesses, {
		address, streams: callers, tokens: 1, stream: false, warmUp, duration,
	});
	const relay = await run(rig.relay);
	const router = await run(rig.router.settings.callerAddress);
	const seconds = duration / millisecondsPerSecond;
	return {relay: relay.answers / seconds, router: router.answers / seconds, failures: relay.failures + router.failures};
};

/** Measures events of long answers, of which engines offer more than one process can relay. */
export const measureEvents = async (rig: Rig, streams: number): Promise<ThroughputRun> => {
	const run = async (address: string) => driveFrom(driverProcesses, {
		address, streams, tokens: 1_000_000, stream: true, warmUp, duration,
	});
	const relay = await run(rig.relay);
	const router = await run(rig.router.settings.callerAddress);
	const seconds = duration / millisecondsPerSecond;
	return {relay: relay.events / seconds, router: router.events / seconds, failures: 0};
};
