import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {sendRequest} from '../testing.js';

/** Bytes of a megabyte. */
export const megabyte = 1024 * 1024;
/** Memory that the test's process may take in addition, for a host that may hold 25 MB of answers and as much of requests: as much as a host of 250 MB has beside its program. */
export const maxGrowth = 170 * megabyte;

const getMemory = (): number => {
	const {heapUsed, arrayBuffers} = process.memoryUsage();
	return heapUsed + arrayBuffers;
};

/** Measures the memory of the process at intervals until `work` is done; returns its largest growth. */
export const measureGrowth = async (work: () => Promise<void>): Promise<number> => {
	const before = getMemory();
	let peak = before;
	const timer = setInterval(() => {
		peak = Math.max(peak, getMemory());
	}, 10);
	await work();
	clearInterval(timer);
	return peak - before;
};

/** Sends requests whose answers are sound, for as long as others are open; returns the statuses. */
export const sendSound = async (port: number, isDone: () => boolean): Promise<number[]> => {
	const statuses: number[] = [];
	while (!isDone()) {
		// eslint-disable-next-line no-await-in-loop -- Requests are sent one at a time.
		const {status} = await sendRequest(port, {path: '/read/sound', headers: {attempt: 's'}});
		statuses.push(status);
		// eslint-disable-next-line no-await-in-loop -- Requests are sent one at a time.
		await sleep(20);
	}

	return statuses;
};
