import {spawn, type ChildProcess} from 'node:child_process';
import {createWriteStream} from 'node:fs';
import {mkdir, writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import type {Clock} from '@gentianlift/clock';
import type {Milliseconds} from '@gentianlift/types';
import type {SettingsDocument} from '../queries/get-settings.js';

/** A router process that was started for a trial. */
export type RunningRouter = {
	settings: SettingsDocument;
	pid: number;
	/** File with what the process wrote. */
	logFile: string;
	/** Resolves with the exit code, or the signal's name, once the process has ended. */
	ended: Promise<number | string>;
	signal: (name: NodeJS.Signals) => void;
	/** Asks the process to stop and waits for it; kills it when it hasn't ended by the limit. */
	stop: (limit?: Milliseconds) => Promise<number | string>;
};

const entry = fileURLToPath(new URL('../../../router/dist/main.js', import.meta.url));
const defaultStopLimit: Milliseconds = 20_000;

const waitForEnd = async (child: ChildProcess): Promise<number | string> => new Promise(resolve => {
	child.once('exit', (code, signal) => {
		resolve(code ?? signal ?? 'unknown');
	});
});

/** Starts a router process with its settings in a file of `folder`. */
export const startRouter = async (settings: SettingsDocument, folder: string, clock: Clock): Promise<RunningRouter> => {
	await mkdir(folder, {recursive: true});
	const settingsFile = path.join(folder, `${settings.host}.json`);
	const logFile = path.join(folder, `${settings.host}.log`);
	await writeFile(settingsFile, JSON.stringify(settings, undefined, '\t'));
	const log = createWriteStream(logFile, {flags: 'a'});
	const child = spawn(process.execPath, [entry, '--settings', settingsFile], {stdio: ['ignore', 'pipe', 'pipe']});
	child.stdout.pipe(log, {end: false});
	child.stderr.pipe(log, {end: false});
	const ended = waitForEnd(child);
	return {
		settings,
		pid: child.pid ?? 0,
		logFile,
		ended,
		signal(name) {
			child.kill(name);
		},
		async stop(limit = defaultStopLimit) {
			child.kill('SIGTERM');
			const cancel = clock.after(limit, () => {
				child.kill('SIGKILL');
			});
			const outcome = await ended;
			cancel();
			return outcome;
		},
	};
};
