import {formatChange, type Change} from '@gentianlift/config';
import {
	publishConfiguration, readCurrentVersion, readVersion, updateHistory, type PublishOutcome,
} from '@gentianlift/distribution';
import type {ConfigurationVersion, KeyValueService} from '@gentianlift/types';
import {exitCodes} from '../exit-codes.js';
import {getReadFailure, readConfigurationFile} from '../queries/index.js';
import {createFailed, createFaulty, type Result} from '../result.js';
import {missingUrl, type Session} from '../session.js';
import {formatTable} from '../table.js';
import {waitInForce} from './wait-in-force.js';

/** What an operator says of a publication. */
export type PublishFlags = {base?: number; note: string; author?: string};

type Publishing = {session: Session; keyValue: KeyValueService; name: string; base: number};

const reportInForce = async ({session}: Publishing, {version}: ConfigurationVersion, head: string): Promise<Result> => {
	if (session.operators.length === 0) {
		return {exitCode: exitCodes.ok, lines: [head, 'No hosts are given, so it isn\'t known where it is in force.'], data: {version, hosts: []}};
	}

	const hosts = await waitInForce(session, version);
	const late = hosts.filter(({inForce}) => !inForce).map(({host}) => host);
	const tail = late.length === 0 ? 'It is in force at every host.' : `Not confirmed by: ${late.join(', ')}.`;
	return {
		exitCode: late.length === 0 ? exitCodes.ok : exitCodes.failed,
		lines: [head, ...formatTable(hosts, ['host', 'inForce', 'version', 'state']), tail],
		data: {version, hosts, unconfirmed: late},
	};
};

const reportConflict = ({base, name}: Publishing, current: ConfigurationVersion | undefined, changes: Change[]): Result => {
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

const report = async (publishing: Publishing, outcome: PublishOutcome): Promise<Result> => {
	switch (outcome.kind) {
		case 'applied': {
			const [result] = await Promise.all([
				reportInForce(publishing, outcome.version, `Version ${outcome.version.version} is accepted.`),
				updateHistory(publishing.keyValue, outcome.version),
			]);
			return result;
		}

		case 'unchanged': {
			return reportInForce(publishing, outcome.version, `Version ${outcome.version.version} is the same already.`);
		}

		case 'conflict': {
			return reportConflict(publishing, outcome.current, outcome.changes);
		}

		case 'invalid': {
			return createFaulty(publishing.name, outcome.faults);
		}

		case 'unavailable': {
			return createFailed(exitCodes.unavailable, `Not published: the key-value service can't be reached: ${outcome.reason}`);
		}

		case 'unknown': {
			return createFailed(
				exitCodes.unavailable,
				`Unknown: the service didn't say whether it took the write (${outcome.reason}). It may be accepted later; publishing again is safe.`,
				{unknown: true, token: outcome.token},
			);
		}
	}
};

const publish = async (publishing: Publishing, document: unknown, flags: PublishFlags): Promise<Result> => {
	const {session: {clock, createToken, author}, keyValue, base} = publishing;
	const outcome = await publishConfiguration({clock, keyValue}, {
		document, base, token: createToken(), author: flags.author ?? author, note: flags.note,
	});
	return report(publishing, outcome);
};

/** Publishes a file as the version after its base, and tells where it is in force. */
export const publishFile = async (session: Session, file: string, flags: PublishFlags): Promise<Result> => {
	const {keyValue} = session;
	if (keyValue === undefined) {
		return createFailed(exitCodes.usage, missingUrl);
	}

	const read = await readConfigurationFile(session, file);
	if (read.kind === 'failed') {
		return read.result;
	}

	const publishing = {
		session, keyValue, name: file, base: flags.base ?? read.base ?? 0,
	};
	return publish(publishing, read.configuration, flags);
};

/** Publishes an older version again, as a new one. */
export const rollBack = async (session: Session, version: number, flags: PublishFlags): Promise<Result> => {
	const {keyValue} = session;
	if (keyValue === undefined) {
		return createFailed(exitCodes.usage, missingUrl);
	}

	const older = await readVersion(keyValue, version);
	if (older.kind !== 'found') {
		return getReadFailure(older, `version ${version}`);
	}

	const current = await readCurrentVersion(keyValue);
	if (current.kind !== 'found') {
		return getReadFailure(current, 'accepted version yet');
	}

	const base = flags.base ?? current.stored.version.version;
	const note = flags.note === '' ? `back to version ${version}` : flags.note;
	return publish({
		session, keyValue, name: `version ${version}`, base,
	}, older.stored.version.configuration, {...flags, note});
};
