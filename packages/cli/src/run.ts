import {renderUsage, runCommand} from 'citty';
import {createMainCommand, type SessionRunner} from './definitions.js';
import type {Environment} from './environment.js';
import {exitCodes, type ExitCode} from './exit-codes.js';
import {findCommand, getArgumentErrors, type FoundCommand} from './find-command.js';
import type {Result} from './result.js';
import {createUsageError, openSession} from './session.js';

/** Exit code of the command line and what it prints on standard output and standard error. */
export type CommandOutput = {exitCode: ExitCode; output: string; errors: string};

const programName = 'gentianlift';
const helpFlags = new Set(['--help', '-h']);
// eslint-disable-next-line no-control-regex -- citty colours its help text even where the output is a file or a pipe, so the escape codes are removed.
const colourCodes = /\u001B\[\d+m/gv;

const getString = (value: unknown): string | undefined => typeof value === 'string' ? value : undefined;

const createRunner = (environment: Environment, finish: (result: Result) => void): SessionRunner => async (args, run) => {
	const flags = {
		settings: getString(args.settings), keyValueUrl: getString(args['key-value-url']), operators: getString(args.operators),
	};
	const session = await openSession(environment, flags);
	if (session.kind === 'invalid') {
		finish(createUsageError(session.faults));
		return;
	}

	try {
		finish(await run(session.value));
	} finally {
		session.value.close();
	}
};

const getHelp = async ({command, path}: FoundCommand): Promise<string> => {
	const parent = {meta: {name: [programName, ...path.slice(0, -1)].join(' ')}};
	const usage = path.length === 0 ? await renderUsage(command) : await renderUsage(command, parent);
	return `${usage.replaceAll(colourCodes, '').trimEnd()}\n`;
};

const formatResult = ({exitCode, lines, data}: Result, isJson: boolean): CommandOutput => {
	const text = isJson ? `${JSON.stringify(data)}\n` : `${lines.join('\n')}\n`;
	const isError = exitCode !== exitCodes.ok && !isJson;
	return {exitCode, output: isError ? '' : text, errors: isError ? text : ''};
};

const getUsageErrors = (found: FoundCommand): string[] => {
	if (!found.hasSubCommands) {
		return getArgumentErrors(found);
	}

	const [argument] = found.rest;
	return [argument === undefined ? 'A command is missing.' : `Unknown command or flag ${argument}.`];
};

/** Parses the arguments and runs the command that they name. */
export const runCommandLine = async (rawArgs: string[], environment: Environment): Promise<CommandOutput> => {
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
