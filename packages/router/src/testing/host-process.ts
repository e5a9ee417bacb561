import {spawn} from 'node:child_process';
import {writeFile} from 'node:fs/promises';
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
	sendSignal: (name: NodeJS.Signals) => void;
};

const program = fileURLToPath(new URL('../main.ts', import.meta.url));

/** Starts a host's process from the sources. Its settings file is written into `folder`. */
export const startHostProcess = async (settings: SettingsDocument, folder: string): Promise<HostProcess> => {
	const settingsFile = path.join(folder, `${settings.host}.json`);
	await writeFile(settingsFile, JSON.stringify(settings));
	const child = spawn(process.execPath, ['--conditions=source', '--import', 'tsx', program, '--settings', settingsFile], {stdio: ['ignore', 'ignore', 'pipe']});
	let log = '';
	child.stderr.setEncoding('utf8');
	child.stderr.on('data', (text: string) => {
		log += text;
	});
	const exited = new Promise<HostExit>(resolve => {
		child.once('close', (code, signal) => {
			resolve({outcome: code ?? signal ?? 'unknown', log});
		});
	});
	return {
		settings,
		exited,
		sendSignal(name) {
			child.kill(name);
		},
	};
};
