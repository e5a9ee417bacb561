import {readdirSync, readFileSync} from 'node:fs';
import {createManualClock} from '@gentianlift/clock';
import {expect, test} from 'vitest';
import {createFakeEnvironment} from './fake-environment.js';
import {exitCodes, runCommandLine, type Run} from './index.js';

const folder = new URL('../../../docs/operators/', import.meta.url);
const kopi = readFileSync(new URL('../../../examples/kopi.json', import.meta.url), 'utf8');
const words = /"([^"]*)"|\S+/gv;

const getLines = (page: string): string[] => readFileSync(new URL(page, folder), 'utf8')
	.split('\n')
	.map(line => line.trim())
	.filter(line => line.startsWith('gentianlift '));

const split = (line: string): string[] => [...line.matchAll(words)].map(([word, quoted]) => quoted ?? word).slice(1);

const createShell = () => {
	const clock = createManualClock();
	const environment = createFakeEnvironment(clock);
	environment.files.set('kopi.json', kopi);
	for (const host of environment.hosts.values()) {
		host.version = 99;
	}

	return async (line: string): Promise<Run> => {
		const [command = '', target] = line.split(' > ');
		const outcome = runCommandLine(split(command), environment);
		for (let round = 0; round < 20; round++) {
			// eslint-disable-next-line no-await-in-loop -- Each round lets the command reach its next wait.
			await clock.advance(250);
		}

		const run = await outcome;
		if (target !== undefined) {
			environment.files.set(target, run.output);
		}

		return run;
	};
};

const pages = readdirSync(folder).filter(page => page.endsWith('.md'));

test.each(pages.filter(page => getLines(page).length > 0))('runs the command lines of %s', async page => {
	const run = createShell();
	if (page !== 'install.md') {
		await run('gentianlift config publish kopi.json');
	}

	for (const line of getLines(page)) {
		// eslint-disable-next-line no-await-in-loop -- The lines of a page follow one another.
		expect({line, ...await run(line)}).toMatchObject({exitCode: exitCodes.ok, errors: ''});
	}
});

test('has command lines to run', () => {
	expect(pages.flatMap(page => getLines(page)).length).toBeGreaterThan(15);
});
