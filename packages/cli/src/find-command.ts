import type {ArgsDef, CommandDef, SubCommandsDef} from 'citty';

/** Command that the arguments name, with its path of names and the arguments after them. */
export type FoundCommand = {command: CommandDef; path: string[]; rest: string[]; args: ArgsDef; hasSubCommands: boolean};

const getFlagName = (argument: string): string => argument.replace(/^-+/v, '').split('=')[0] ?? '';

const toCamelCase = (name: string): string => name.replaceAll(/-([a-z])/gv, (_match, letter: string) => letter.toUpperCase());

/** Finds the command that the arguments name. Subcommands must be plain objects: citty's promises and functions aren't resolved. */
export const findCommand = (main: CommandDef, rawArgs: string[]): FoundCommand => {
	let found: FoundCommand = {
		command: main, path: [], rest: rawArgs, args: {}, hasSubCommands: true,
	};
	for (;;) {
		const commands = found.command.subCommands as SubCommandsDef | undefined;
		const [name = '', ...rest] = found.rest;
		const next = commands !== undefined && Object.hasOwn(commands, name) ? commands[name] as CommandDef : undefined;
		if (next === undefined) {
			return {...found, hasSubCommands: commands !== undefined, args: (found.command.args ?? {}) as ArgsDef};
		}

		found = {
			...found, command: next, path: [...found.path, name], rest,
		};
	}
};

const isKnown = (argument: string, args: ArgsDef): boolean => {
	const name = getFlagName(argument);
	const isFlag = (flag: string): boolean => args[flag] !== undefined && args[flag].type !== 'positional';
	return Object.keys(args).some(flag => isFlag(flag) && (flag === name || toCamelCase(flag) === name));
};

const takesValue = (argument: string, args: ArgsDef): boolean =>
	!argument.includes('=') && args[getFlagName(argument)]?.type === 'string';

/** Returns the errors in the arguments of a command: unknown flags, flags without a value, missing and unexpected positional arguments. */
export const getArgumentErrors = ({rest, args}: FoundCommand): string[] => {
	const errors: string[] = [];
	const values: string[] = [];
	for (let index = 0; index < rest.length; index++) {
		const argument = rest[index] ?? '';
		if (!argument.startsWith('-') || argument === '-') {
			values.push(argument);
			continue;
		}

		if (!isKnown(argument, args)) {
			errors.push(`Unknown flag ${argument}.`);
		} else if (takesValue(argument, args)) {
			index++;
			if (rest[index] === undefined || rest[index]?.startsWith('--') === true) {
				errors.push(`${argument} needs a value.`);
			}
		}
	}

	const positionals = Object.keys(args).filter(name => args[name]?.type === 'positional');
	const missing = positionals.slice(values.length).map(name => `${name.toUpperCase()} is missing.`);
	const unexpected = values.slice(positionals.length).map(value => `Unknown argument ${value}.`);
	return [...errors, ...missing, ...unexpected];
};
