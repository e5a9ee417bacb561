import {fork, type ChildProcess} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import type {Order, Report} from './messages.js';

/** A process that runs nodes. */
export type NodeProcess = {
	/** Sends an order and waits for the report of that kind. */
	ask: <Kind extends Report['kind']>(order: Order, kind: Kind) => Promise<Extract<Report, {kind: Kind}>>;
	onReport: (listener: (report: Report) => void) => void;
	stop: () => Promise<void>;
};

const entry = fileURLToPath(new URL('process.js', import.meta.url));

const waitFor = async <Kind extends Report['kind']>(child: ChildProcess, kind: Kind): Promise<Extract<Report, {kind: Kind}>> => new Promise(resolve => {
	const receive = (report: Report): void => {
		if (report.kind === kind) {
			child.off('message', receive);
			resolve(report as Extract<Report, {kind: Kind}>);
		}
	};

	child.on('message', receive);
});

/** Starts a process for nodes. */
export const startNodeProcess = async (): Promise<NodeProcess> => {
	const child = fork(entry, {execArgv: ['--expose-gc']});
	await waitFor(child, 'ready');
	return {
		async ask(order, kind) {
			const answer = waitFor(child, kind);
			child.send(order);
			return answer;
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
