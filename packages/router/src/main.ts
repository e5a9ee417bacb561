#!/usr/bin/env node
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {formatDiagnostic, parseJson, parseSettings} from '@gentianlift/config';
import type {Settings} from '@gentianlift/types';
import {defineCommand, runMain, type ArgsDef} from 'citty';
import {startHost, type RunningHost} from './host/start-host.js';

const exitStatuses = {failed: 1, usage: 2};
const commandArguments = {
	settings: {type: 'string', description: 'File of the settings, in JSON.', required: true},
} as const satisfies ArgsDef;

const exitWith = (status: number, lines: string[]): never => {
	process.stderr.write(`${lines.join('\n')}\n`);
	process.exit(status);
};

const checkFlags = (names: string[]): void => {
	const unknown = names.filter(name => name !== '_' && !(name in commandArguments));
	if (unknown.length > 0) {
		exitWith(exitStatuses.usage, unknown.map(name => `Unknown flag --${name}.`));
	}
};

const readText = async (file: string): Promise<string> => {
	try {
		return await readFile(file, 'utf8');
	} catch (error) {
		return exitWith(exitStatuses.usage, [`The settings can't be read: ${error instanceof Error ? error.message : String(error)}`]);
	}
};

const readSettings = async (file: string): Promise<Settings> => {
	const document = parseJson(await readText(file));
	const parsed = document.kind === 'valid' ? parseSettings(document.value) : document;
	return parsed.kind === 'valid' ? parsed.value : exitWith(exitStatuses.usage, parsed.faults.map(fault => formatDiagnostic(fault)));
};

const start = async (settings: Settings): Promise<RunningHost> => {
	try {
		return await startHost(settings, status => {
			process.exit(status);
		});
	} catch (error) {
		return exitWith(exitStatuses.failed, [`The host can't start: ${error instanceof Error ? error.message : String(error)}`]);
	}
};

/** Signals that begin a graceful shutdown; by default, each of them would end the process at once. */
const stopSignals = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const;

/** Begins to receive the signals that stop the host. Those that arrive while it starts are handled once it can stop. */
const createStopRequests = () => {
	const early: string[] = [];
	let stop = (signal: string): void => {
		early.push(signal);
	};

	const onSignal = (signal: string): void => {
		stop(signal);
	};

	for (const signal of stopSignals) {
		process.on(signal, onSignal);
	}

	return {
		handleWith(stopHost: (signal: string) => void): void {
			stop = stopHost;
			for (const signal of early) {
				stopHost(signal);
			}
		},
	};
};

/** Receives a fault that nothing has handled. */
type FaultReceiver = (fault: unknown) => void;

const writeFault: FaultReceiver = fault => {
	process.stderr.write(`Unhandled fault: ${fault instanceof Error ? fault.stack ?? fault.message : String(fault)}\n`);
};

/** Begins to receive errors and rejections that nothing has handled, each of which would end the process over all requests. They are written until the host runs. */
const createFaultReports = () => {
	let receive = writeFault;
	process.on('uncaughtException', fault => {
		receive(fault);
	});
	return {
		reportTo(receiver: FaultReceiver): void {
			receive = receiver;
		},
	};
};

const main = defineCommand({
	meta: {name: 'gentianlift-router', version: '0.1.0', description: 'The process of an entry host.'},
	args: commandArguments,
	async run({args}) {
		checkFlags(Object.keys(args));
		const stopRequests = createStopRequests();
		const faultReports = createFaultReports();
		const host = await start(await readSettings(args.settings));
		faultReports.reportTo(host.reportFault);
		stopRequests.handleWith(host.stop);
	},
});

await runMain(main);
