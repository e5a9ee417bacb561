import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** Processor time and heap that some work took. */
export type Cost = {
	/** Milliseconds of processor time. */
	processor: number;
	/** Bytes of heap that it holds after a collection. */
	heap: number;
};

const microsecondsPerMillisecond = 1000;

setFlagsFromString('--expose-gc');
const collect = runInNewContext('gc') as () => void;

/** Runs work and measures what it took; `keep` holds what the work made until the heap is read. */
export const measure = async <Kept>(work: () => Promise<Kept> | Kept): Promise<Cost & {kept: Kept}> => {
	collect();
	const heapBefore = process.memoryUsage().heapUsed;
	const before = process.cpuUsage();
	const kept = await work();
	const {user, system} = process.cpuUsage(before);
	collect();
	return {processor: (user + system) / microsecondsPerMillisecond, heap: process.memoryUsage().heapUsed - heapBefore, kept};
};

/** A straight line through measured points, by least squares. */
export type Line = {slope: number; intercept: number};

/** Fits a line; `points` are pairs of a size and what was measured at it. */
export const fitLine = (points: ReadonlyArray<{size: number; value: number}>): Line => {
	const count = points.length;
	const meanSize = points.reduce((sum, {size}) => sum + size, 0) / count;
	const meanValue = points.reduce((sum, {value}) => sum + value, 0) / count;
	const covariance = points.reduce((sum, {size, value}) => sum + ((size - meanSize) * (value - meanValue)), 0);
	const variance = points.reduce((sum, {size}) => sum + ((size - meanSize) ** 2), 0);
	const slope = covariance / variance;
	return {slope, intercept: meanValue - (slope * meanSize)};
};
