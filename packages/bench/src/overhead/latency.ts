import type {DriveResult} from './drive.js';
import {driveLoadFromProcesses, getMedian, getP99} from './figures.js';
import type {TestSetup} from './rig.js';

/** Milliseconds that a proxy adds to percentiles of the time to first token and of the time to the whole answer. */
export type AddedLatency = {firstP50: number; firstP99: number; wholeP50: number; wholeP99: number};

/** Latency added by the relay and by the router in one run, compared with calls straight to an engine. */
export type LatencyMeasurement = {relay: AddedLatency; router: AddedLatency; failures: number};

const tokensPerAnswer = 20;
const warmUpMs = 1000;
const durationMs = 5000;

const subtractDirect = (result: DriveResult, direct: DriveResult): AddedLatency => ({
	firstP50: getMedian(result.first) - getMedian(direct.first),
	firstP99: getP99(result.first) - getP99(direct.first),
	wholeP50: getMedian(result.whole) - getMedian(direct.whole),
	wholeP99: getP99(result.whole) - getP99(direct.whole),
});

/** Measures the added latency at a number of concurrent streams; the engine, the relay and the router are called one after another. */
export const measureLatency = async (setup: TestSetup, streams: number): Promise<LatencyMeasurement> => {
	const driveAddress = async (address: string): Promise<DriveResult> => driveLoadFromProcesses(1, {
		address, streams, tokens: tokensPerAnswer, stream: true, warmUp: warmUpMs, duration: durationMs,
	});
	const direct = await driveAddress(setup.engines[0] ?? '');
	const relay = await driveAddress(setup.relay);
	const router = await driveAddress(setup.router.settings.callerAddress);
	return {relay: subtractDirect(relay, direct), router: subtractDirect(router, direct), failures: relay.failures + router.failures};
};
