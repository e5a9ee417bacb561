import {readFileSync} from 'node:fs';
import {createManualClock} from '@gentianlift/clock';
import {noWriteFaults} from '@gentianlift/platform';
import type {Configuration} from '@gentianlift/types';
import {expect, test} from 'vitest';
import {createFakeEnvironment} from './fake-environment.js';
import {exitCodes, runCommandLine, type CommandOutput} from './index.js';

const kopiText = readFileSync(new URL('../../../examples/kopi.json', import.meta.url), 'utf8');

const createShell = () => {
	const clock = createManualClock();
	const environment = createFakeEnvironment(clock);
	environment.files.set('kopi.json', kopiText);
	const run = async (line: string): Promise<CommandOutput> => {
		const outcome = runCommandLine(line.split(' '), environment);
		for (let round = 0; round < 100; round++) {
			// eslint-disable-next-line no-await-in-loop -- Each round lets the command run up to its next sleep.
			await clock.advance(250);
		}

		return outcome;
	};

	const setVersion = (version: number): void => {
		for (const host of environment.hosts.values()) {
			host.version = version;
		}
	};

	const edit = (file: string, slots: number): void => {
		const configuration = JSON.parse(kopiText) as Configuration;
		configuration.inventory.engines[0]!.slots = slots;
		environment.files.set(file, JSON.stringify(configuration));
	};

	return {
		environment, run, setVersion, edit,
	};
};

test('checks a file and reports all its errors', async () => {
	const {environment, run} = createShell();
	expect(await run('config check kopi.json')).toMatchObject({exitCode: exitCodes.ok, output: expect.stringContaining('12 engines') as string});
	environment.files.set('bad.json', '{"inventory": {}}');
	const {exitCode, errors} = await run('config check bad.json');
	expect(exitCode).toBe(exitCodes.failed);
	expect(errors).toContain('$.inventory.engines: found nothing, expected a list');
	expect(errors).toContain('$.rules: found nothing');
});

test('publishes and reports the hosts that have not confirmed the version', async () => {
	const {environment, run, setVersion} = createShell();
	setVersion(1);
	environment.hosts.get('h2')!.version = 0;
	environment.hosts.get('h3')!.isReachable = false;
	const published = await run('config publish kopi.json --json');
	expect(published.exitCode).toBe(exitCodes.failed);
	expect(JSON.parse(published.output)).toMatchObject({version: 1, unconfirmed: ['h2', 'h3']});
	environment.hosts.get('h2')!.version = 1;
	environment.hosts.get('h3')!.isReachable = true;
	expect(await run('config publish kopi.json')).toMatchObject({exitCode: exitCodes.ok, output: expect.stringContaining('Version 1 is the same already.') as string});
});

test('reports a conflict with the differences, and publishes on the current base', async () => {
	const {run, setVersion, edit} = createShell();
	setVersion(9);
	await run('config publish kopi.json');
	edit('mine.json', 5);
	edit('other.json', 6);
	expect(await run('config publish other.json --base 1')).toMatchObject({exitCode: exitCodes.ok});
	const {exitCode, errors} = await run('config publish mine.json --base 1');
	expect(exitCode).toBe(exitCodes.conflict);
	expect(errors).toContain('~ $.inventory.engines["kopi-engine-1"].slots: 6 -> 5');
	expect(await run('config publish mine.json --base 2')).toMatchObject({exitCode: exitCodes.ok});
	expect(await run('config rollback 2')).toMatchObject({exitCode: exitCodes.ok, output: expect.stringContaining('Version 4 is accepted.') as string});
	const history = await run('config history --json');
	expect(JSON.parse(history.output)).toMatchObject([{version: 4, note: 'back to version 2'}, {version: 3}, {version: 2}, {version: 1}]);
});

test('takes the base version from a file that config show printed', async () => {
	const {environment, run, setVersion, edit} = createShell();
	setVersion(9);
	await run('config publish kopi.json');
	const shown = await run('config show');
	environment.files.set('shown.json', shown.output.replace('"slots": 8', '"slots": 7'));
	expect(await run('config diff shown.json')).toMatchObject({exitCode: exitCodes.ok, output: expect.stringContaining('8 -> 7') as string});
	edit('other.json', 3);
	await run('config publish other.json --base 1');
	expect(await run('config publish shown.json')).toMatchObject({exitCode: exitCodes.conflict});
});

test('distinguishes an outage from an unknown outcome', async () => {
	const {environment, run} = createShell();
	environment.service.setFaults({outage: true});
	expect(await run('config publish kopi.json')).toMatchObject({exitCode: exitCodes.unavailable, errors: expect.stringContaining('Not published') as string});
	environment.service.setFaults({outage: false, probabilities: {...noWriteFaults, dropped: 1}});
	expect(await run('config publish kopi.json')).toMatchObject({exitCode: exitCodes.unavailable, errors: expect.stringContaining('Unknown') as string});
});

test('calls the next host when one is unreachable', async () => {
	const {environment, run} = createShell();
	environment.hosts.get('h1')!.isReachable = false;
	expect(await run('requests show h1.1.7')).toMatchObject({exitCode: exitCodes.ok});
	expect(await run('requests show h1.1.8')).toMatchObject({exitCode: exitCodes.failed, errors: expect.stringContaining('Nothing is known') as string});
	expect(await run('upstream drain kopi-engine-1')).toMatchObject({exitCode: exitCodes.ok});
	expect(await run('drain h2 --force')).toMatchObject({exitCode: exitCodes.ok});
	expect(await run('drain h1')).toMatchObject({exitCode: exitCodes.unavailable});
	expect(environment.commands).toEqual(['h2 /operator/upstreams/kopi-engine-1/drain {}', 'h2 /operator/drain {"force":true}']);
	expect(await run('status')).toMatchObject({exitCode: exitCodes.failed});
});

test.each([
	'',
	'config',
	'config chek kopi.json',
	'config check',
	'config check a b',
	'config check kopi.json --fast',
	'status --operators',
	'drain h9',
	'config history --limit x',
	'status --settings none.json',
])('rejects "%s" as wrong usage', async line => {
	const {run} = createShell();
	expect(await run(line)).toMatchObject({exitCode: exitCodes.usage, output: ''});
});

test.each(['--help', 'config --help', 'config publish --help'])('prints the usage for "%s"', async line => {
	const {run} = createShell();
	const {exitCode, output} = await run(line);
	expect(exitCode).toBe(exitCodes.ok);
	expect(output).toContain('USAGE gentianlift');
});
