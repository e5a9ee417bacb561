import {readFileSync} from 'node:fs';

/** What the system says of a process. */
export type ProcessStatus = {
	/** Largest resident memory so far, in bytes. */
	peakMemory: number;
	/** Whether the process handles SIGHUP; before it has loaded its first module it doesn't, and the signal ends it. */
	handlesReload: boolean;
};

const bytesPerKilobyte = 1024;
const hexadecimal = 16;
/** SIGHUP in the last digit of a mask of signals. */
const reloadSignalBit = 1;

const readField = (text: string, name: string): string => new RegExp(String.raw`^${name}:\s+(\w+)`, 'mv').exec(text)?.[1] ?? '';

/** Returns the status of a process; undefined if it is gone or the system has no such file. */
export const readProcessStatus = (pid: number): ProcessStatus | undefined => {
	try {
		const text = readFileSync(`/proc/${pid}/status`, 'utf8');
		const signals = Number.parseInt(readField(text, 'SigCgt').slice(-1), hexadecimal);
		return {
			peakMemory: (Number(readField(text, 'VmHWM')) || 0) * bytesPerKilobyte,
			// eslint-disable-next-line no-bitwise -- A mask of signals.
			handlesReload: (signals & reloadSignalBit) !== 0,
		};
	} catch {
		return undefined;
	}
};
