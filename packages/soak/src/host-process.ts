import {spawn, type ChildProcess} from 'node:child_process';
import {createWriteStream, type WriteStream} from 'node:fs';
import type {Readable} from 'node:stream';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Milliseconds} from '@gentianlift/types';
import type {ProcessFailure} from './process-failure.js';
import {readProcessStatus} from './process-status.js';

/** A command that runs one host until it receives a signal. */
export type Command = {file: string; args: string[]; env: Record<string, string>; logFile: string};

/**
 * What reads a host's output:
 * - `read`: the log
 * - `unread`: nothing, so that the host's writes find the pipe full after a while
 * - `closed`: nothing any more, so that the host's writes fail, until its next start
 */
export type OutputState = 'read' | 'unread' | 'closed';

/** A host's process, which can be started again after it has exited, and also while the one before still stops. */
export type HostProcess = {
	start: () => void;
	/** Sends SIGTERM, and SIGKILL after the grace period; resolves when the process has exited. */
	stop: (gracePeriod: Milliseconds) => Promise<void>;
	kill: () => Promise<void>;
	pause: () => void;
	resume: () => void;
	/** Sends SIGHUP, unless the process has neither a handler nor written anything: before its first module is loaded, SIGHUP would end it. */
	reload: () => void;
	/** Changes what reads the output of the current process. */
	setOutput: (state: OutputState) => void;
	/** Returns what all processes so far have done wrong. */
	getFailures: () => ProcessFailure[];
};

/** Options of a host's process. */
export type HostProcessOptions = {
	command: Command;
	/** Resident memory that each process may have, in bytes. */
	memoryLimit: number;
};

type Child = ChildProcess & {stdout: Readable; stderr: Readable};

/** One start of a host; `peakMemory` in bytes. */
type Instance = {child: Child; hasOutput: boolean; isExitExpected: boolean; peakMemory: number};

/** Interval at which peaks of memory are read; the system keeps the peak of a process until that ends. */
const memoryPollInterval: Milliseconds = 50;

/** Processes of all hosts that have been started and haven't exited. */
const running = new Set<Child>();

/** Sends SIGKILL to the processes of all hosts, also to those that are paused. */
export const killAllHosts = (): void => {
	for (const child of running) {
		child.kill('SIGKILL');
	}
};

const hasExited = (child: Child): boolean => child.exitCode !== null || child.signalCode !== null;

const describeExit = ({exitCode, signalCode}: Child): string => signalCode ?? `code ${exitCode}`;

const waitForExit = async (child: Child): Promise<void> => {
	if (!hasExited(child)) {
		await new Promise<void>(resolve => {
			child.once('exit', () => {
				resolve();
			});
		});
	}
};

const kill = async (instance: Instance): Promise<void> => {
	instance.isExitExpected = true;
	instance.child.kill('SIGKILL');
	await waitForExit(instance.child);
};

/** Whether a process has run any instruction of its program that it can be held to. */
const isLoaded = ({child, hasOutput}: Instance): boolean =>
	hasOutput || (child.pid !== undefined && (readProcessStatus(child.pid)?.handlesReload ?? false));

/** Records the peak of a process's memory until it exits. */
const recordMemory = (instance: Instance): void => {
	const {child} = instance;
	const timer = setInterval(() => {
		const status = child.pid === undefined ? undefined : readProcessStatus(child.pid);
		instance.peakMemory = Math.max(instance.peakMemory, status?.peakMemory ?? 0);
	}, memoryPollInterval);
	child.once('exit', () => {
		clearInterval(timer);
	});
};

const setOutput = ({child: {stdout, stderr}}: Instance, log: WriteStream, state: OutputState): void => {
	for (const output of [stdout, stderr]) {
		switch (state) {
			case 'read': {
				output.unpipe(log).pipe(log, {end: false});
				break;
			}

			case 'unread': {
				output.unpipe(log);
				output.pause();
				break;
			}

			case 'closed': {
				output.destroy();
				break;
			}
		}
	}
};

const startInstance = ({file, args, env}: Command, log: WriteStream, onUnexpectedExit: (exit: string) => void): Instance => {
	const child = spawn(file, args, {env, stdio: ['ignore', 'pipe', 'pipe']});
	const instance: Instance = {
		child, hasOutput: false, isExitExpected: false, peakMemory: 0,
	};
	child.stdout.once('data', () => {
		instance.hasOutput = true;
	});
	setOutput(instance, log, 'read');
	running.add(child);
	recordMemory(instance);
	child.once('exit', () => {
		running.delete(child);
		if (!instance.isExitExpected) {
			onUnexpectedExit(describeExit(child));
		}
	});
	return instance;
};

/** Creates a host process that isn't started yet. */
export const createHostProcess = ({command, memoryLimit}: HostProcessOptions): HostProcess => {
	const failures: ProcessFailure[] = [];
	const instances: Instance[] = [];
	const log = createWriteStream(command.logFile, {flags: 'a'});

	return {
		start() {
			instances.push(startInstance(command, log, exit => {
				failures.push({kind: 'unexpected-exit', exit});
			}));
		},
		async stop(gracePeriod) {
			const instance = instances.at(-1);
			if (instance === undefined || hasExited(instance.child)) {
				return;
			}

			const {child} = instance;
			const canHandle = isLoaded(instance);
			instance.isExitExpected = true;
			child.kill('SIGTERM');
			await Promise.race([waitForExit(child), sleep(gracePeriod)]);
			await kill(instance);
			if (child.signalCode === 'SIGKILL') {
				failures.push({kind: 'late-exit', gracePeriod});
			} else if (canHandle && child.exitCode !== 0) {
				failures.push({kind: 'failed-exit', exit: describeExit(child)});
			}
		},
		async kill() {
			await Promise.all(instances.filter(({child}) => !hasExited(child)).map(async instance => kill(instance)));
		},
		pause() {
			instances.at(-1)?.child.kill('SIGSTOP');
		},
		resume() {
			instances.at(-1)?.child.kill('SIGCONT');
		},
		reload() {
			const instance = instances.at(-1);
			if (instance !== undefined && isLoaded(instance)) {
				instance.child.kill('SIGHUP');
			}
		},
		setOutput(state) {
			const instance = instances.at(-1);
			if (instance !== undefined) {
				setOutput(instance, log, state);
			}
		},
		getFailures: () => [
			...failures,
			...instances.filter(({peakMemory}) => peakMemory > memoryLimit).map(({peakMemory}): ProcessFailure => ({kind: 'memory', peak: peakMemory, limit: memoryLimit})),
		],
	};
};
