import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import type {SettingsDocument} from '@gentianlift/trial';

/** Exit of a host's process: its status, or the name of the signal that ended it, and what it has logged. */
export type HostExit = {outcome: number | string; log: string};

/** Host that runs as a process of its own. */
export type HostProcess = {
	settings: SettingsDocument;
	/** Resolves once the process has exited. */
	exited: Promise<HostExit>;
	/** Returns what the process has logged so far. */
	getLog: () => string;
	sendSignal: (name: NodeJS.Signals) => void;
};

const program = fileURLToPath(new URL('../main.ts', import.meta.url));

/** Starts a host's process from the sources, with more arguments for Node. */
export const startHostProcess = async (settings: SettingsDocument, nodeArguments: readonly string[] = []): Promise<HostProcess> => {
	const folder = await mkdtemp(path.join(tmpdir(), 'gentianlift-host-'));
	const settingsFile = path.join(folder, 'settings.json');
	await writeFile(settingsFile, JSON.stringify(settings));
	const child = spawn(process.execPath, ['--conditions=source', '--import', 'tsx', ...nodeArguments, program, '--settings', settingsFile], {stdio: ['ignore', 'ignore', 'pipe']});
	let log = '';
	child.stderr.setEncoding('utf8');
	child.stderr.on('data', (text: string) => {
		log += text;
	});
	const waitForExit = async (): Promise<HostExit> => {
		const [code, signal] = await once(child, 'close') as [number | undefined, NodeJS.Signals];
		await rm(folder, {recursive: true});
		return {outcome: code ?? signal, log};
	};

	return {
		settings,
		exited: waitForExit(),
		getLog: () => log,
		sendSignal(name) {
			child.kill(name);
		},
	};
};

/** Returns the status that a URL is answered with; 0 if it isn't answered. */
export const readStatus = async (url: string): Promise<number> => {
	try {
		const {status} = await fetch(url);
		return status;
	} catch {
		return 0;
	}
};
