import type {DriveResult} from './drive.js';
import {driveFrom, getMedian, getP99} from './figures.js';
import type {Rig} from './rig.js';

/** Milliseconds that a way adds to a percentile of the first byte and of the whole answer. */
export type Added = {firstP50: number; firstP99: number; wholeP50: number; wholeP99: number};

/** One run: straight to an engine, through the relay and through the router. */
export type LatencyRun = {relay: Added; router: Added; failures: number};

const tokens = 20;
const warmUp = 1000;
const duration = 5000;

const getAdded = (result: DriveResult, direct: DriveResult): Added => ({
	firstP50: getMedian(result.first) - getMedian(direct.first),
	firstP99: getP99(result.first) - getP99(direct.first),
	wholeP50: getMedian(result.whole) - getMedian(direct.whole),
	wholeP99: getP99(result.whole) - getP99(direct.whole),
});

/** Measures added latency at some open streams, one way after another. */
export const measureLatency = async (rig: Rig, streams: number): Promise<LatencyRun> => {
	const run = async (address: string): Promise<DriveResult> => driveFrom(1, {
		address, streams, tokens, stream: true, warmUp, duration,
	});
	const direct = await run(rig.engines[0] ?? '');
	const relay = await run(rig.relay);
	const router = await run(rig.router.settings.callerAddress);
	return {relay: getAdded(relay, direct), router: getAdded(router, direct), failures: relay.failures + router.failures};
};
