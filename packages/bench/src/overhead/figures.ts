import {getPercentile} from '@gentianlift/trial';
import {startScript} from './child.js';
import type {DriveOptions, DriveResult} from './drive.js';

/** Runs closed-loop callers in child processes, each with an equal number of the streams, and merges the results. */
export const driveLoadFromProcesses = async (processes: number, options: DriveOptions): Promise<DriveResult> => {
	const optionsPerProcess = {...options, streams: Math.ceil(options.streams / processes)};
	const children = await Promise.all(Array.from({length: processes}, async () =>
		startScript('bench/dist/overhead/drive-main.js', [JSON.stringify(optionsPerProcess)])));
	const results = children.map(child => JSON.parse(child.firstLine) as DriveResult);
	const sum = (getValue: (result: DriveResult) => number): number => results.reduce((total, result) => total + getValue(result), 0);
	return {
		answers: sum(({answers}) => answers),
		events: sum(({events}) => events),
		failures: sum(({failures}) => failures),
		first: results.flatMap(({first}) => first),
		whole: results.flatMap(({whole}) => whole),
	};
};

/** Returns the median. */
export const getMedian = (values: number[]): number => getPercentile(values, 0.5);

/** Returns the 99th percentile. */
export const getP99 = (values: number[]): number => getPercentile(values, 0.99);
