import {formatChange, type FieldChange} from '@gentianlift/config';
import {
	publishConfiguration, readCurrentVersion, readVersion, updateHistory, type PublishOutcome,
} from '@gentianlift/distribution';
import type {ConfigurationVersion, KeyValueService} from '@gentianlift/types';
import {exitCodes} from '../exit-codes.js';
import {createReadFailure, readConfigurationFile} from '../queries/index.js';
import {createFailure, createInvalidFileFailure, type Result} from '../result.js';
import type {Session} from '../session.js';
import {formatTable} from '../table.js';
import {withKeyValue} from '../with-key-value.js';
import {waitUntilInForce} from './wait-until-in-force.js';

/** Options of a publication that the operator gives as flags. */
export type PublishFlags = {base?: number; note: string; author?: string};

type PublishContext = {session: Session; keyValue: KeyValueService; name: string; base: number};

const reportRollout = async ({session}: PublishContext, {version}: ConfigurationVersion, headline: string): Promise<Result> => {
	if (session.operators.length === 0) {
		return {exitCode: exitCodes.ok, lines: [headline, 'No hosts are given, so it isn\'t known where it is in force.'], data: {version, hosts: []}};
	}

	const hosts = await waitUntilInForce(session, version);
	const unconfirmedHosts = hosts.filter(({inForce}) => !inForce).map(({host}) => host);
	const summary = unconfirmedHosts.length === 0 ? 'It is in force at every host.' : `Not confirmed by: ${unconfirmedHosts.join(', ')}.`;
	return {
		exitCode: unconfirmedHosts.length === 0 ? exitCodes.ok : exitCodes.failed,
		lines: [headline, ...formatTable(hosts, ['host', 'inForce', 'version', 'state']), summary],
		data: {version, hosts, unconfirmed: unconfirmedHosts},
	};
};

const reportConflict = ({base, name}: PublishContext, current: ConfigurationVersion | undefined, changes: FieldChange[]): Result => {
	const version = current?.version ?? 0;
	const author = current === undefined ? '' : ` by ${current.author}`;
	return {
		exitCode: exitCodes.conflict,
		lines: [
			`Not published: ${name} was made from version ${base}, and version ${version}${author} is current.`,
			`${name} against version ${version}:`,
			...changes.map(change => `  ${formatChange(change)}`),
			`To put it in force all the same: publish again with --base ${version}.`,
		],
		data: {
			conflict: true, base, version, changes,
		},
	};
};

const reportOutcome = async (context: PublishContext, outcome: PublishOutcome): Promise<Result> => {
	switch (outcome.kind) {
		case 'applied': {
			const [result] = await Promise.all([
				reportRollout(context, outcome.version, `Version ${outcome.version.version} is accepted.`),
				updateHistory(context.keyValue, outcome.version),
			]);
			return result;
		}

		case 'unchanged': {
			return reportRollout(context, outcome.version, `Version ${outcome.version.version} is the same already.`);
		}

		case 'conflict': {
			return reportConflict(context, outcome.current, outcome.changes);
		}

		case 'invalid': {
			return createInvalidFileFailure(context.name, outcome.faults);
		}

		case 'unavailable': {
			return createFailure(exitCodes.unavailable, `Not published: the key-value service can't be reached: ${outcome.reason}`);
		}

		case 'unknown': {
			return createFailure(
				exitCodes.unavailable,
				`Unknown: the service didn't say whether it took the write (${outcome.reason}). It may be accepted later; publishing again is safe.`,
				{unknown: true, token: outcome.token},
			);
		}
	}
};

const publish = async (context: PublishContext, document: unknown, flags: PublishFlags): Promise<Result> => {
	const {session: {clock, createToken, author}, keyValue, base} = context;
	const outcome = await publishConfiguration({clock, keyValue}, {
		document, base, token: createToken(), author: flags.author ?? author, note: flags.note,
	});
	return reportOutcome(context, outcome);
};

/** Publishes a file as the version that follows its base, and reports which hosts have it in force. */
export const publishFile = async (session: Session, file: string, flags: PublishFlags): Promise<Result> =>
	withKeyValue(session, async keyValue => {
		const read = await readConfigurationFile(session, file);
		if (read.kind === 'failed') {
			return read.result;
		}

		const context = {
			session, keyValue, name: file, base: flags.base ?? read.base ?? 0,
		};
		return publish(context, read.configuration, flags);
	});

/** Publishes the configuration of an older version as a new version. */
export const rollBack = async (session: Session, version: number, flags: PublishFlags): Promise<Result> =>
	withKeyValue(session, async keyValue => {
		const older = await readVersion(keyValue, version);
		if (older.kind !== 'found') {
			return createReadFailure(older, `version ${version}`);
		}

		const current = await readCurrentVersion(keyValue);
		if (current.kind !== 'found') {
			return createReadFailure(current, 'accepted version yet');
		}

		const base = flags.base ?? current.stored.version.version;
		const note = flags.note === '' ? `back to version ${version}` : flags.note;
		return publish({
			session, keyValue, name: `version ${version}`, base,
		}, older.stored.version.configuration, {...flags, note});
	});
