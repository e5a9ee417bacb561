import {readdirSync, readFileSync} from 'node:fs';
import {createManualClock} from '@gentianlift/clock';
import {expect, test} from 'vitest';
import {createFakeEnvironment} from './fake-environment.js';
import {exitCodes, runCommandLine, type CommandOutput} from './index.js';

const folder = new URL('../../../docs/operators/', import.meta.url);
const kopiText = readFileSync(new URL('../../../examples/kopi.json', import.meta.url), 'utf8');
const wordPattern = /"([^"]*)"|\S+/gv;

const getCommandLines = (page: string): string[] => readFileSync(new URL(page, folder), 'utf8')
	.split('\n')
	.map(line => line.trim())
	.filter(line => line.startsWith('gentianlift '));

const splitLine = (line: string): string[] => [...line.matchAll(wordPattern)].map(([word, quoted]) => quoted ?? word).slice(1);

const createShell = () => {
	const clock = createManualClock();
	const environment = createFakeEnvironment(clock);
	environment.files.set('kopi.json', kopiText);
	for (const host of environment.hosts.values()) {
		host.version = 99;
	}

	return async (line: string): Promise<CommandOutput> => {
		const [command = '', outputFile] = line.split(' > ');
		const outcome = runCommandLine(splitLine(command), environment);
		for (let round = 0; round < 20; round++) {
			// eslint-disable-next-line no-await-in-loop -- Each round lets the command run up to its next sleep.
			await clock.advance(250);
		}

		const result = await outcome;
		if (outputFile !== undefined) {
			environment.files.set(outputFile, result.output);
		}

		return result;
	};
};

const pages = readdirSync(folder).filter(page => page.endsWith('.md'));

test.each(pages.filter(page => getCommandLines(page).length > 0))('runs each command line of %s without an error', async page => {
	const run = createShell();
	if (page !== 'install.md') {
		await run('gentianlift config publish kopi.json');
	}

	for (const line of getCommandLines(page)) {
		// eslint-disable-next-line no-await-in-loop -- Later command lines of a page depend on earlier ones.
		expect({line, ...await run(line)}).toMatchObject({exitCode: exitCodes.ok, errors: ''});
	}
});

test('finds command lines on the operators\' pages', () => {
	expect(pages.flatMap(page => getCommandLines(page)).length).toBeGreaterThan(15);
});
