import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** Processor time and heap that an operation used. */
export type Cost = {
	/** Processor time in milliseconds. */
	processor: number;
	/** Heap in bytes that remains in use after garbage collection. */
	heap: number;
};

const microsecondsPerMillisecond = 1000;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Runs work and measures its cost. The result is returned as `kept`, so that it is still reachable, and counted, when the heap is read. */
export const measure = async <Kept>(work: () => Promise<Kept> | Kept): Promise<Cost & {kept: Kept}> => {
	collectGarbage();
	const heapBefore = process.memoryUsage().heapUsed;
	const before = process.cpuUsage();
	const kept = await work();
	const {user, system} = process.cpuUsage(before);
	collectGarbage();
	return {processor: (user + system) / microsecondsPerMillisecond, heap: process.memoryUsage().heapUsed - heapBefore, kept};
};

/** Straight line fitted to measured points by least squares. */
export type LinearFit = {slope: number; intercept: number};

/** Fits a line to points by least squares; a point is a size and the value measured at it. */
export const fitLine = (points: ReadonlyArray<{size: number; value: number}>): LinearFit => {
	const count = points.length;
	const meanSize = points.reduce((sum, {size}) => sum + size, 0) / count;
	const meanValue = points.reduce((sum, {value}) => sum + value, 0) / count;
	const covariance = points.reduce((sum, {size, value}) => sum + ((size - meanSize) * (value - meanValue)), 0);
	const variance = points.reduce((sum, {size}) => sum + ((size - meanSize) ** 2), 0);
	const slope = covariance / variance;
	return {slope, intercept: meanValue - (slope * meanSize)};
};
