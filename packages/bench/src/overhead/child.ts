import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

/** Child process that has printed its first line. */
export type RunningScript = {pid: number; firstLine: string; stop: () => Promise<void>};

const bytesPerKilobyte = 1024;

/** Starts a script, given by its path below the folder of the packages, and waits for its first line of output. */
export const startScript = async (script: string, args: string[]): Promise<RunningScript> => {
	const file = fileURLToPath(new URL(`../../../${script}`, import.meta.url));
	const child = spawn(process.execPath, [file, ...args], {stdio: ['ignore', 'pipe', 'inherit']});
	const lines = createInterface({input: child.stdout});
	const [firstLine] = await once(lines, 'line') as [string];
	return {
		pid: child.pid ?? 0,
		firstLine,
		async stop() {
			if (child.exitCode === null && child.kill('SIGTERM')) {
				await once(child, 'exit');
			}
		},
	};
};

/** Reads the resident set size of a process in bytes. */
export const readResidentBytes = async (pid: number): Promise<number> => {
	const status = await readFile(`/proc/${pid}/status`, 'utf8');
	const kilobytes = /^VmRSS:\s+(?<count>\d+)/mv.exec(status)?.groups?.count ?? '0';
	return Number(kilobytes) * bytesPerKilobyte;
};
