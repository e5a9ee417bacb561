import {spawn, type ChildProcess} from 'node:child_process';
import {createWriteStream} from 'node:fs';
import {mkdir, writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import type {Clock} from '@gentianlift/clock';
import type {Milliseconds} from '@gentianlift/types';
import type {SettingsDocument} from '../queries/get-settings.js';

/** A router process of a trial. */
export type RunningRouter = {
	settings: SettingsDocument;
	pid: number;
	/** File to which the process's output is appended. */
	logFile: string;
	/** Resolves with the exit code, or the signal's name, once the process has exited. */
	exited: Promise<number | string>;
	sendSignal: (name: NodeJS.Signals) => void;
	/** Sends SIGTERM, and SIGKILL after the timeout; resolves like `exited`. */
	stop: (timeout?: Milliseconds) => Promise<number | string>;
};

const routerProgram = fileURLToPath(new URL('../../../router/dist/main.js', import.meta.url));
const defaultStopTimeout: Milliseconds = 20_000;

const waitForExit = async (child: ChildProcess): Promise<number | string> => new Promise(resolve => {
	child.once('exit', (code, signal) => {
		resolve(code ?? signal ?? 'unknown');
	});
});

/** Starts a router process; writes its settings and log files into `folder`. */
export const startRouter = async (settings: SettingsDocument, folder: string, clock: Clock): Promise<RunningRouter> => {
	await mkdir(folder, {recursive: true});
	const settingsFile = path.join(folder, `${settings.host}.json`);
	const logFile = path.join(folder, `${settings.host}.log`);
	await writeFile(settingsFile, JSON.stringify(settings, undefined, '\t'));
	const log = createWriteStream(logFile, {flags: 'a'});
	const child = spawn(process.execPath, [routerProgram, '--settings', settingsFile], {stdio: ['ignore', 'pipe', 'pipe']});
	child.stdout.pipe(log, {end: false});
	child.stderr.pipe(log, {end: false});
	const exited = waitForExit(child);
	return {
		settings,
		pid: child.pid ?? 0,
		logFile,
		exited,
		sendSignal(name) {
			child.kill(name);
		},
		async stop(timeout = defaultStopTimeout) {
			child.kill('SIGTERM');
			const cancel = clock.after(timeout, () => {
				child.kill('SIGKILL');
			});
			const outcome = await exited;
			cancel();
			return outcome;
		},
	};
};
