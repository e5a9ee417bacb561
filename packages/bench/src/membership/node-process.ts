import {fork, type ChildProcess} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import type {ProcessCommand, ProcessReport} from './messages.js';

/** Child process that runs membership nodes. */
export type NodeProcess = {
	/** Sends a command and waits for the next report of a kind. */
	request: <Kind extends ProcessReport['kind']>(command: ProcessCommand, kind: Kind) => Promise<Extract<ProcessReport, {kind: Kind}>>;
	onReport: (listener: (report: ProcessReport) => void) => void;
	stop: () => Promise<void>;
};

const entryPath = fileURLToPath(new URL('process.js', import.meta.url));

const waitForReport = async <Kind extends ProcessReport['kind']>(child: ChildProcess, kind: Kind): Promise<Extract<ProcessReport, {kind: Kind}>> => new Promise(resolve => {
	const receive = (report: ProcessReport): void => {
		if (report.kind === kind) {
			child.off('message', receive);
			resolve(report as Extract<ProcessReport, {kind: Kind}>);
		}
	};

	child.on('message', receive);
});

/** Starts a child process that can run nodes. */
export const startNodeProcess = async (): Promise<NodeProcess> => {
	const child = fork(entryPath, {execArgv: ['--expose-gc']});
	await waitForReport(child, 'ready');
	return {
		async request(command, kind) {
			const reply = waitForReport(child, kind);
			child.send(command);
			return reply;
		},
		onReport(listener) {
			child.on('message', listener);
		},
		stop: async () => new Promise(resolve => {
			child.once('exit', () => {
				resolve();
			});
			if (child.exitCode !== null || child.signalCode !== null) {
				resolve();
			}

			child.kill();
		}),
	};
};
