import process from 'node:process';

/** Resident memory of the process, against that of its host. */
export type ResidentMemory = {
	/** Whether the process has so little memory left that large requests have to wait for garbage to be collected. */
	isShort: () => boolean;
};

/** Part of a host's memory above which the rest is left to requests of a usual size and to garbage. */
const shortPart = 3 / 4;

/** Creates it for a host with `memory` bytes; `getResident` returns the bytes that the process has. */
export const createResidentMemory = (memory: number, getResident: () => number = process.memoryUsage.rss): ResidentMemory => ({
	isShort: () => getResident() > memory * shortPart,
});
