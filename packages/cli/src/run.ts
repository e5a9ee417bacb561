import {renderUsage, runCommand} from 'citty';
import {createMainCommand, type Runner} from './definitions.js';
import type {Environment} from './environment.js';
import {exitCodes, type ExitCode} from './exit-codes.js';
import {findCommand, getArgumentFaults, type Found} from './find-command.js';
import type {Result} from './result.js';
import {createUsageFailure, openSession} from './session.js';

/** What a run of the command line prints, and its exit code. */
export type Run = {exitCode: ExitCode; output: string; errors: string};

const programName = 'gentianlift';
const helpFlags = new Set(['--help', '-h']);
// eslint-disable-next-line no-control-regex -- The colours that citty puts into its help aren't wanted in files and pipes.
const colours = /\u001B\[\d+m/gv;

const getText = (value: unknown): string | undefined => typeof value === 'string' ? value : undefined;

const createRunner = (environment: Environment, finish: (result: Result) => void): Runner => async (args, run) => {
	const flags = {
		settings: getText(args.settings), keyValueUrl: getText(args['key-value-url']), operators: getText(args.operators),
	};
	const session = await openSession(environment, flags);
	if (session.kind === 'invalid') {
		finish(createUsageFailure(session.faults));
		return;
	}

	try {
		finish(await run(session.value));
	} finally {
		session.value.close();
	}
};

const getHelp = async ({command, path}: Found): Promise<string> => {
	const parent = {meta: {name: [programName, ...path.slice(0, -1)].join(' ')}};
	const usage = path.length === 0 ? await renderUsage(command) : await renderUsage(command, parent);
	return `${usage.replaceAll(colours, '').trimEnd()}\n`;
};

const formatResult = ({exitCode, lines, data}: Result, isJson: boolean): Run => {
	const text = isJson ? `${JSON.stringify(data)}\n` : `${lines.join('\n')}\n`;
	const isError = exitCode !== exitCodes.ok && !isJson;
	return {exitCode, output: isError ? '' : text, errors: isError ? text : ''};
};

const getUsageErrors = (found: Found): string[] => {
	if (!found.hasSubCommands) {
		return getArgumentFaults(found);
	}

	const [word] = found.rest;
	return [word === undefined ? 'A command is missing.' : `Unknown command or flag ${word}.`];
};

/** Runs the command line with the given arguments. */
export const runCommandLine = async (rawArgs: string[], environment: Environment): Promise<Run> => {
	let result: Result | undefined;
	const main = createMainCommand(createRunner(environment, finished => {
		result = finished;
	}));
	const found = findCommand(main, rawArgs);
	if (found.rest.some(argument => helpFlags.has(argument))) {
		return {exitCode: exitCodes.ok, output: await getHelp(found), errors: ''};
	}

	const errors = getUsageErrors(found);
	if (errors.length > 0) {
		return {exitCode: exitCodes.usage, output: '', errors: `${errors.join('\n')}\n\n${await getHelp(found)}`};
	}

	await runCommand(main, {rawArgs});
	return formatResult(result ?? {exitCode: exitCodes.failed, lines: ['Nothing was done.'], data: {}}, found.rest.includes('--json'));
};
