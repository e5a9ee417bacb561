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
import {createFailed, type Result} from './result.js';
import type {Session} from './session.js';

/** Runs a command in a session that the flags say how to open. */
export type Runner = (flags: Record<string, unknown>, run: (session: Session) => Promise<Result>) => Promise<void>;

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

const file = {type: 'positional', description: 'File of the configuration, in JSON.', required: true} as const;
const host = {type: 'positional', description: 'Name of the host.', required: true} as const;
const upstream = {type: 'positional', description: 'Name of the upstream.', required: true} as const;

const wholeNumber = /^\d+$/v;

const withNumber = async (text: string, name: string, run: (value: number) => Promise<Result>): Promise<Result> =>
	wholeNumber.test(text) ? run(Number(text)) : createFailed(exitCodes.usage, `${name} must be a whole number, not ${text}.`);

const withPublishFlags = async (args: {base?: string; note?: string; author?: string}, run: (flags: PublishFlags) => Promise<Result>): Promise<Result> => {
	const flags: PublishFlags = {note: args.note ?? ''};
	if (args.author !== undefined) {
		flags.author = args.author;
	}

	return args.base === undefined ? run(flags) : withNumber(args.base, '--base', async base => run({...flags, base}));
};

type Leaf<Args extends ArgsDef> = {
	name: string;
	description: string;
	args: Args;
	run: (session: Session, args: ParsedArgs<Args>) => Promise<Result>;
};

const createLeaf = <Args extends ArgsDef>(runner: Runner, {name, description, args, run}: Leaf<Args>): CommandDef => defineCommand({
	meta: {name, description},
	args: {...args, ...commonArgs},
	async run(context) {
		const flags = context.args as unknown as ParsedArgs<Args>;
		await runner(context.args, async session => run(session, flags));
	},
}) as unknown as CommandDef;

const createConfigCommands = (runner: Runner): CommandDef => defineCommand({
	meta: {name: 'config', description: 'Check, publish and show the configuration.'},
	subCommands: {
		check: createLeaf(runner, {
			name: 'check', description: 'Check a file and tell all its faults.', args: {file}, run: async (session, args) => checkFile(session, args.file),
		}),
		diff: createLeaf(runner, {
			name: 'diff', description: 'Show how a file differs from the current version.', args: {file}, run: async (session, args) => diffFile(session, args.file),
		}),
		publish: createLeaf(runner, {
			name: 'publish',
			description: 'Publish a file as the next version and tell where it is in force.',
			args: {file, ...publishArgs},
			run: async (session, args) => withPublishFlags(args, async flags => publishFile(session, args.file, flags)),
		}),
		show: createLeaf(runner, {
			name: 'show',
			description: 'Show the current version or an older one.',
			args: {version: {type: 'string', description: 'Number of the version.'}},
			run: async (session, {version}) => version === undefined
				? showConfiguration(session, undefined)
				: withNumber(version, '--version', async number => showConfiguration(session, number)),
		}),
		history: createLeaf(runner, {
			name: 'history',
			description: 'List the newest versions.',
			args: {limit: {type: 'string', description: 'Versions to list.', default: '10'}},
			run: async (session, {limit}) => withNumber(limit, '--limit', async count => listHistory(session, count)),
		}),
		rollback: createLeaf(runner, {
			name: 'rollback',
			description: 'Publish an older version again, as a new one.',
			args: {version: {type: 'positional', description: 'Number of the older version.', required: true}, ...publishArgs},
			run: async (session, args) => withNumber(args.version, 'VERSION', async number =>
				withPublishFlags(args, async flags => rollBack(session, number, flags))),
		}),
	},
});

const createFleetCommands = (runner: Runner): Record<string, CommandDef> => ({
	status: createLeaf(runner, {
		name: 'status', description: 'Show what each host says of itself.', args: {}, run: async session => showStatus(session),
	}),
	hosts: createLeaf(runner, {
		name: 'hosts', description: 'List the hosts as one of them sees them.', args: {}, run: async session => showHosts(session),
	}),
	upstreams: createLeaf(runner, {
		name: 'upstreams', description: 'List the upstreams as one host sees them.', args: {}, run: async session => showUpstreams(session),
	}),
	requests: defineCommand({
		meta: {name: 'requests', description: 'Show what became of a request.'},
		subCommands: {
			show: createLeaf(runner, {
				name: 'show',
				description: 'Show the account of a request.',
				args: {id: {type: 'positional', description: 'Id of the request.', required: true}},
				run: async (session, {id}) => showRequest(session, id),
			}),
		},
	}),
	drain: createLeaf(runner, {
		name: 'drain',
		description: 'Take a host out of service; it finishes its requests.',
		args: {host, force: {type: 'boolean', description: 'Stop without waiting for its requests.'}},
		run: async (session, args) => drainHost(session, args.host, args.force === true),
	}),
	undrain: createLeaf(runner, {
		name: 'undrain', description: 'Put a host back in service.', args: {host}, run: async (session, args) => undrainHost(session, args.host),
	}),
	upstream: defineCommand({
		meta: {name: 'upstream', description: 'Take an upstream out of service or put it back.'},
		subCommands: {
			drain: createLeaf(runner, {
				name: 'drain', description: 'Give an upstream no new work.', args: {upstream}, run: async (session, args) => changeUpstream(session, args.upstream, 'drain'),
			}),
			undrain: createLeaf(runner, {
				name: 'undrain', description: 'Give an upstream work again.', args: {upstream}, run: async (session, args) => changeUpstream(session, args.upstream, 'undrain'),
			}),
		},
	}),
});

/** Creates the tree of all commands. */
export const createMainCommand = (runner: Runner): CommandDef => defineCommand({
	meta: {name: 'gentianlift', version: '0.1.0', description: 'The operators\' command line of gentianlift.'},
	subCommands: {config: createConfigCommands(runner), ...createFleetCommands(runner)},
});
