import {spawn, type ChildProcess} from 'node:child_process';
import {createWriteStream, type WriteStream} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Milliseconds} from '@gentianlift/types';

/** A command that runs one host until it receives a signal. */
export type Command = {file: string; args: string[]; env: Record<string, string>; logFile: string};

/** A host's process, which can be started again after it has exited. */
export type HostProcess = {
	start: () => void;
	/** Sends SIGTERM, and SIGKILL after the grace period; resolves when the process has exited, with whether it exited within the grace period. */
	stop: (gracePeriod: Milliseconds) => Promise<boolean>;
	kill: () => Promise<void>;
	pause: () => void;
	resume: () => void;
	/** Sends SIGHUP if the process has written its first output; before that it has no signal handlers and SIGHUP would end it. */
	reload: () => void;
	/** Returns the exit code or signal of each exit that wasn't caused by `stop` or `kill`. */
	getUnexpectedExits: () => string[];
};

/** Processes of all hosts that have been started and haven't exited. */
const running = new Set<ChildProcess>();

/** Sends SIGKILL to the processes of all hosts, also to those that are paused. */
export const killAllHosts = (): void => {
	for (const child of running) {
		child.kill('SIGKILL');
	}
};

const hasExited = (child: ChildProcess): boolean => child.exitCode !== null || child.signalCode !== null;

const waitForExit = async (child: ChildProcess): Promise<void> => {
	if (!hasExited(child)) {
		await new Promise<void>(resolve => {
			child.once('exit', () => {
				resolve();
			});
		});
	}
};

/** Creates a host process that isn't started yet. */
export const createHostProcess = (command: Command): HostProcess => {
	const unexpectedExits: string[] = [];
	let child: ChildProcess | undefined;
	let isExitExpected = false;
	let isLogging = false;
	const log: WriteStream = createWriteStream(command.logFile, {flags: 'a'});

	const sendAndWait = async (signal: NodeJS.Signals): Promise<void> => {
		isExitExpected = true;
		if (child !== undefined) {
			child.kill(signal);
			await waitForExit(child);
		}
	};

	return {
		start() {
			isExitExpected = false;
			isLogging = false;
			const started = spawn(command.file, command.args, {env: command.env, stdio: ['ignore', 'pipe', 'pipe']});
			started.stdout.once('data', () => {
				isLogging = child === started;
			});
			started.stdout.pipe(log, {end: false});
			started.stderr.pipe(log, {end: false});
			running.add(started);
			started.once('exit', (code, signal) => {
				running.delete(started);
				if (!isExitExpected) {
					unexpectedExits.push(signal ?? `code ${code}`);
				}
			});
			child = started;
		},
		async stop(gracePeriod) {
			const stopping = child;
			if (stopping === undefined || hasExited(stopping)) {
				return true;
			}

			isExitExpected = true;
			stopping.kill('SIGTERM');
			await Promise.race([waitForExit(stopping), sleep(gracePeriod)]);
			const hasExitedInTime = hasExited(stopping);
			await sendAndWait('SIGKILL');
			return hasExitedInTime;
		},
		async kill() {
			await sendAndWait('SIGKILL');
		},
		pause() {
			child?.kill('SIGSTOP');
		},
		resume() {
			child?.kill('SIGCONT');
		},
		reload() {
			if (isLogging) {
				child?.kill('SIGHUP');
			}
		},
		getUnexpectedExits: () => [...unexpectedExits],
	};
};
