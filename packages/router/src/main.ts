#!/usr/bin/env node
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {formatDiagnostic, parseJson, parseSettings} from '@gentianlift/config';
import {defineCommand, runMain} from 'citty';
import {startHost} from './host/start-host.js';

const usageStatus = 2;

const exitWith = (lines: string[]): never => {
	process.stderr.write(`${lines.join('\n')}\n`);
	process.exit(usageStatus);
};

const main = defineCommand({
	meta: {name: 'gentianlift-router', version: '0.1.0', description: 'The process of an entry host.'},
	args: {
		settings: {type: 'string', description: 'File of the settings, in JSON.', required: true},
	},
	async run({args}) {
		const document = parseJson(await readFile(args.settings, 'utf8'));
		const parsed = document.kind === 'valid' ? parseSettings(document.value) : document;
		if (parsed.kind === 'invalid') {
			exitWith(parsed.faults.map(fault => formatDiagnostic(fault)));
			return;
		}

		const host = await startHost(parsed.value, status => {
			process.exit(status);
		});
		process.on('unhandledRejection', reason => {
			host.reportFault(reason);
		});
		for (const signal of ['SIGTERM', 'SIGINT'] as const) {
			process.on(signal, () => {
				host.stop(signal);
			});
		}
	},
});

await runMain(main);
