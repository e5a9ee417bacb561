import {readFile} from 'node:fs/promises';
import {hostname} from 'node:os';
import process from 'node:process';
import {createSystemClock} from '@gentianlift/clock';
import {createKeyValueClient} from '@gentianlift/platform';
import type {Environment} from './environment.js';
import {callOperator} from './operator-client.js';
import {runCommandLine} from './run.js';

const clock = createSystemClock();
/** Timeout of a call to the key-value service, in milliseconds. */
const timeout = 2500;

const environment: Environment = {
	clock,
	variables: process.env,
	createToken: () => `${hostname()}.${process.pid}.${clock.now()}.${process.hrtime.bigint()}`,
	async readFile(path) {
		try {
			return await readFile(path, 'utf8');
		} catch {
			return undefined;
		}
	},
	createKeyValue: url => createKeyValueClient({url, clock, timeout}),
	callOperator,
};

const {exitCode, output, errors} = await runCommandLine(process.argv.slice(2), environment);
process.stdout.write(output);
process.stderr.write(errors);
process.exitCode = exitCode;
