import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

/** A process of the bench that told its first line. */
export type Child = {pid: number; firstLine: string; stop: () => Promise<void>};

const bytesPerKilobyte = 1024;

/** Starts a script of the workspace and waits for its first line. */
export const startChild = async (script: string, args: string[]): Promise<Child> => {
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

/** Reads the resident memory of a process in bytes. */
export const readMemory = async (pid: number): Promise<number> => {
	const status = await readFile(`/proc/${pid}/status`, 'utf8');
	const kilobytes = /^VmRSS:\s+(?<count>\d+)/mv.exec(status)?.groups?.count ?? '0';
	return Number(kilobytes) * bytesPerKilobyte;
};
