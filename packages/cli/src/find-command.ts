import type {ArgsDef, CommandDef, SubCommandsDef} from 'citty';

/** The command that the arguments name. */
export type Found = {command: CommandDef; path: string[]; rest: string[]; args: ArgsDef; hasSubCommands: boolean};

const getName = (argument: string): string => argument.replace(/^-+/v, '').split('=')[0] ?? '';

const toCamelCase = (name: string): string => name.replaceAll(/-([a-z])/gv, (_match, letter: string) => letter.toUpperCase());

/** Finds the command that the arguments name; commands are plain data here, never promises. */
export const findCommand = (main: CommandDef, rawArgs: string[]): Found => {
	let found: Found = {
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
	const name = getName(argument);
	const isFlag = (flag: string): boolean => args[flag] !== undefined && args[flag].type !== 'positional';
	return Object.keys(args).some(flag => isFlag(flag) && (flag === name || toCamelCase(flag) === name));
};

const takesValue = (argument: string, args: ArgsDef): boolean =>
	!argument.includes('=') && args[getName(argument)]?.type === 'string';

/** Gets what is wrong with the arguments of a command: unknown flags, flags without a value, too many words. */
export const getArgumentFaults = ({rest, args}: Found): string[] => {
	const faults: string[] = [];
	const words: string[] = [];
	for (let index = 0; index < rest.length; index++) {
		const argument = rest[index] ?? '';
		if (!argument.startsWith('-') || argument === '-') {
			words.push(argument);
			continue;
		}

		if (!isKnown(argument, args)) {
			faults.push(`Unknown flag ${argument}.`);
		} else if (takesValue(argument, args)) {
			index++;
			if (rest[index] === undefined || rest[index]?.startsWith('--') === true) {
				faults.push(`${argument} needs a value.`);
			}
		}
	}

	const positionals = Object.keys(args).filter(name => args[name]?.type === 'positional');
	const missing = positionals.slice(words.length).map(name => `${name.toUpperCase()} is missing.`);
	const excess = words.slice(positionals.length).map(word => `Unknown argument ${word}.`);
	return [...faults, ...missing, ...excess];
};
