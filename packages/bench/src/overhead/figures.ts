import {getPercentile} from '@gentianlift/trial';
import {startChild} from './child.js';
import type {DriveOptions, DriveResult} from './drive.js';

/** Runs callers in processes of their own, each with a part of the streams, and adds up what they saw. */
export const driveFrom = async (processes: number, options: DriveOptions): Promise<DriveResult> => {
	const part = {...options, streams: Math.ceil(options.streams / processes)};
	const children = await Promise.all(Array.from({length: processes}, async () =>
		startChild('bench/dist/overhead/drive-main.js', [JSON.stringify(part)])));
	const results = children.map(child => JSON.parse(child.firstLine) as DriveResult);
	const sum = (pick: (result: DriveResult) => number): number => results.reduce((total, result) => total + pick(result), 0);
	return {
		answers: sum(({answers}) => answers),
		events: sum(({events}) => events),
		failures: sum(({failures}) => failures),
		first: results.flatMap(({first}) => first),
		whole: results.flatMap(({whole}) => whole),
	};
};

/** Gets the median. */
export const getMedian = (values: number[]): number => getPercentile(values, 0.5);

/** Gets the 99th percentile. */
export const getP99 = (values: number[]): number => getPercentile(values, 0.99);
