import {
	defineCommand, type ArgsDef, type CommandDef, type ParsedArgs,
} from 'citty';
import {
	changeUpstream, drainHost, publishFile, rollBack, undrainHost, type PublishFlags,
} from './commands/index.js';
import {exitCodes} from './exit-codes.js';
import {
	checkFile, diffFile, listHistory, showConfiguration, showHosts, showRequest, showStatus, showUpstreams,
} from './queries/index.js';
import {createFailure, type Result} from './result.js';
import type {Session} from './session.js';

/** Opens a session as the flags describe, and runs a command in it. */
export type SessionRunner = (flags: Record<string, unknown>, run: (session: Session) => Promise<Result>) => Promise<void>;

const commonArgs = {
	settings: {type: 'string', description: 'JSON file with keyValueUrl and operators (or GENTIANLIFT_SETTINGS).'},
	'key-value-url': {type: 'string', description: 'URL of the key-value service (or GENTIANLIFT_KEY_VALUE_URL).'},
	operators: {type: 'string', description: 'Operators\' listeners, host=address,host=address (or GENTIANLIFT_OPERATORS).'},
	json: {type: 'boolean', description: 'Print JSON.'},
} as const satisfies ArgsDef;

const publishArgs = {
	base: {type: 'string', description: 'Version that the change was made from; the file may tell it.'},
	note: {type: 'string', description: 'Note kept with the version.', default: ''},
	author: {type: 'string', description: 'Name kept with the version; the user by default.'},
} as const satisfies ArgsDef;

const fileArgument = {type: 'positional', description: 'File of the configuration, in JSON.', required: true} as const;
const hostArgument = {type: 'positional', description: 'Name of the host.', required: true} as const;
const upstreamArgument = {type: 'positional', description: 'Name of the upstream.', required: true} as const;

const wholeNumberPattern = /^\d+$/v;

const runWithNumber = async (text: string, name: string, run: (value: number) => Promise<Result>): Promise<Result> =>
	wholeNumberPattern.test(text) ? run(Number(text)) : createFailure(exitCodes.usage, `${name} must be a whole number, not ${text}.`);

const runWithPublishFlags = async (args: {base?: string; note?: string; author?: string}, run: (flags: PublishFlags) => Promise<Result>): Promise<Result> => {
	const flags: PublishFlags = {note: args.note ?? ''};
	if (args.author !== undefined) {
		flags.author = args.author;
	}

	return args.base === undefined ? run(flags) : runWithNumber(args.base, '--base', async base => run({...flags, base}));
};

type LeafCommand<Args extends ArgsDef> = {
	name: string;
	description: string;
	args: Args;
	run: (session: Session, args: ParsedArgs<Args>) => Promise<Result>;
};

const createLeafCommand = <Args extends ArgsDef>(runner: SessionRunner, {name, description, args, run}: LeafCommand<Args>): CommandDef => defineCommand({
	meta: {name, description},
	args: {...args, ...commonArgs},
	async run(context) {
		const flags = context.args as unknown as ParsedArgs<Args>;
		await runner(context.args, async session => run(session, flags));
	},
}) as unknown as CommandDef;

const createConfigCommands = (runner: SessionRunner): CommandDef => defineCommand({
	meta: {name: 'config', description: 'Check, publish and show the configuration.'},
	subCommands: {
		check: createLeafCommand(runner, {
			name: 'check', description: 'Check a file and tell all its faults.', args: {file: fileArgument}, run: async (session, args) => checkFile(session, args.file),
		}),
		diff: createLeafCommand(runner, {
			name: 'diff', description: 'Show how a file differs from the current version.', args: {file: fileArgument}, run: async (session, args) => diffFile(session, args.file),
		}),
		publish: createLeafCommand(runner, {
			name: 'publish',
			description: 'Publish a file as the next version and tell where it is in force.',
			args: {file: fileArgument, ...publishArgs},
			run: async (session, args) => runWithPublishFlags(args, async flags => publishFile(session, args.file, flags)),
		}),
		show: createLeafCommand(runner, {
			name: 'show',
			description: 'Show the current version or an older one.',
			args: {version: {type: 'string', description: 'Number of the version.'}},
			run: async (session, {version}) => version === undefined
				? showConfiguration(session, undefined)
				: runWithNumber(version, '--version', async number => showConfiguration(session, number)),
		}),
		history: createLeafCommand(runner, {
			name: 'history',
			description: 'List the newest versions.',
			args: {limit: {type: 'string', description: 'Versions to list.', default: '10'}},
			run: async (session, {limit}) => runWithNumber(limit, '--limit', async count => listHistory(session, count)),
		}),
		rollback: createLeafCommand(runner, {
			name: 'rollback',
			description: 'Publish an older version again, as a new one.',
			args: {version: {type: 'positional', description: 'Number of the older version.', required: true}, ...publishArgs},
			run: async (session, args) => runWithNumber(args.version, 'VERSION', async number =>
				runWithPublishFlags(args, async flags => rollBack(session, number, flags))),
		}),
	},
});

const createFleetCommands = (runner: SessionRunner): Record<string, CommandDef> => ({
	status: createLeafCommand(runner, {
		name: 'status', description: 'Show what each host says of itself.', args: {}, run: async session => showStatus(session),
	}),
	hosts: createLeafCommand(runner, {
		name: 'hosts', description: 'List the hosts as one of them sees them.', args: {}, run: async session => showHosts(session),
	}),
	upstreams: createLeafCommand(runner, {
		name: 'upstreams', description: 'List the upstreams as one host sees them.', args: {}, run: async session => showUpstreams(session),
	}),
	requests: defineCommand({
		meta: {name: 'requests', description: 'Show what became of a request.'},
		subCommands: {
			show: createLeafCommand(runner, {
				name: 'show',
				description: 'Show the account of a request.',
				args: {id: {type: 'positional', description: 'Id of the request.', required: true}},
				run: async (session, {id}) => showRequest(session, id),
			}),
		},
	}),
	drain: createLeafCommand(runner, {
		name: 'drain',
		description: 'Take a host out of service; it finishes its requests.',
		args: {host: hostArgument, force: {type: 'boolean', description: 'Stop without waiting for its requests.'}},
		run: async (session, args) => drainHost(session, args.host, args.force === true),
	}),
	undrain: createLeafCommand(runner, {
		name: 'undrain', description: 'Put a host back in service.', args: {host: hostArgument}, run: async (session, args) => undrainHost(session, args.host),
	}),
	upstream: defineCommand({
		meta: {name: 'upstream', description: 'Take an upstream out of service or put it back.'},
		subCommands: {
			drain: createLeafCommand(runner, {
				name: 'drain', description: 'Give an upstream no new work.', args: {upstream: upstreamArgument}, run: async (session, args) => changeUpstream(session, args.upstream, 'drain'),
			}),
			undrain: createLeafCommand(runner, {
				name: 'undrain', description: 'Give an upstream work again.', args: {upstream: upstreamArgument}, run: async (session, args) => changeUpstream(session, args.upstream, 'undrain'),
			}),
		},
	}),
});

/** Creates the main command with the tree of all subcommands. */
export const createMainCommand = (runner: SessionRunner): CommandDef => defineCommand({
	meta: {name: 'gentianlift', version: '0.1.0', description: 'The operators\' command line of gentianlift.'},
	subCommands: {config: createConfigCommands(runner), ...createFleetCommands(runner)},
});
