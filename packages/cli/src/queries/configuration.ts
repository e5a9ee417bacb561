import {formatChange, getDifference} from '@gentianlift/config';
import {
	readCurrentVersion, readHistory, readVersion, type VersionReading,
} from '@gentianlift/distribution';
import type {ConfigurationVersion} from '@gentianlift/types';
import {exitCodes} from '../exit-codes.js';
import {createFailed, createOk, type Result} from '../result.js';
import {missingUrl, type Session} from '../session.js';
import {formatTable} from '../table.js';
import {readConfigurationFile} from './check.js';

/** Gets the result that tells why a version can't be shown. */
export const getReadFailure = (reading: Exclude<VersionReading, {kind: 'found'}>, name: string): Result => {
	switch (reading.kind) {
		case 'absent': {
			return createFailed(exitCodes.failed, `There is no ${name}.`);
		}

		case 'unavailable': {
			return createFailed(exitCodes.unavailable, `The key-value service can't be read: ${reading.reason}`);
		}
	}
};

const getHead = ({version, author, acceptedAt, note}: ConfigurationVersion) =>
	({
		version, accepted: new Date(acceptedAt).toISOString(), author, note,
	});

/** Shows the newest version or one of the history; the text holds the whole version, so that a file of it can be edited and published. */
export const showConfiguration = async ({keyValue}: Session, version: number | undefined): Promise<Result> => {
	if (keyValue === undefined) {
		return createFailed(exitCodes.usage, missingUrl);
	}

	const reading = version === undefined ? await readCurrentVersion(keyValue) : await readVersion(keyValue, version);
	if (reading.kind !== 'found') {
		return getReadFailure(reading, version === undefined ? 'accepted version yet' : `version ${version}`);
	}

	const shown = reading.stored.version;
	return createOk([JSON.stringify(shown, undefined, '\t')], shown);
};

/** Shows how a file differs from the newest version. */
export const diffFile = async (session: Session, file: string): Promise<Result> => {
	const {keyValue} = session;
	if (keyValue === undefined) {
		return createFailed(exitCodes.usage, missingUrl);
	}

	const read = await readConfigurationFile(session, file);
	if (read.kind === 'failed') {
		return read.result;
	}

	const reading = await readCurrentVersion(keyValue);
	if (reading.kind !== 'found') {
		return getReadFailure(reading, 'accepted version yet');
	}

	const {version, configuration} = reading.stored.version;
	const changes = getDifference(configuration, read.configuration);
	const head = changes.length === 0 ? `${file} is the same as version ${version}.` : `${file} differs from version ${version}:`;
	return createOk([head, ...changes.map(change => `  ${formatChange(change)}`)], {version, changes});
};

/** Lists the newest versions. */
export const listHistory = async ({keyValue}: Session, count: number): Promise<Result> => {
	if (keyValue === undefined) {
		return createFailed(exitCodes.usage, missingUrl);
	}

	const readings = await readHistory(keyValue, count);
	const failed = readings.find(reading => reading.kind === 'unavailable');
	if (failed !== undefined) {
		return getReadFailure(failed, 'history');
	}

	const heads = readings.flatMap(reading => reading.kind === 'found' ? [getHead(reading.stored.version)] : []);
	return createOk(formatTable(heads, ['version', 'accepted', 'author', 'note']), heads);
};
