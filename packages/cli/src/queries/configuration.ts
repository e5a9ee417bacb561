import {formatChange, getDifference} from '@gentianlift/config';
import {
	readCurrentVersion, readHistory, readVersion, type VersionReadOutcome,
} from '@gentianlift/distribution';
import type {ConfigurationVersion} from '@gentianlift/types';
import {exitCodes} from '../exit-codes.js';
import {createFailure, createSuccess, type Result} from '../result.js';
import type {Session} from '../session.js';
import {formatTable} from '../table.js';
import {withKeyValue} from '../with-key-value.js';
import {readConfigurationFile} from './check.js';

/** Creates the result of a command that could not read a version. */
export const createReadFailure = (reading: Exclude<VersionReadOutcome, {kind: 'found'}>, name: string): Result => {
	switch (reading.kind) {
		case 'absent': {
			return createFailure(exitCodes.failed, `There is no ${name}.`);
		}

		case 'unavailable': {
			return createFailure(exitCodes.unavailable, `The key-value service can't be read: ${reading.reason}`);
		}
	}
};

const getVersionSummary = ({version, author, acceptedAt, note}: ConfigurationVersion) =>
	({
		version, accepted: new Date(acceptedAt).toISOString(), author, note,
	});

/** Shows the current version or an older one. Prints the whole version, so that its output can be saved, edited and published. */
export const showConfiguration = async (session: Session, version: number | undefined): Promise<Result> =>
	withKeyValue(session, async keyValue => {
		const reading = version === undefined ? await readCurrentVersion(keyValue) : await readVersion(keyValue, version);
		if (reading.kind !== 'found') {
			return createReadFailure(reading, version === undefined ? 'accepted version yet' : `version ${version}`);
		}

		const shown = reading.stored.version;
		return createSuccess([JSON.stringify(shown, undefined, '\t')], shown);
	});

/** Shows how a file differs from the current version. */
export const diffFile = async (session: Session, file: string): Promise<Result> =>
	withKeyValue(session, async keyValue => {
		const read = await readConfigurationFile(session, file);
		if (read.kind === 'failed') {
			return read.result;
		}

		const reading = await readCurrentVersion(keyValue);
		if (reading.kind !== 'found') {
			return createReadFailure(reading, 'accepted version yet');
		}

		const {version, configuration} = reading.stored.version;
		const changes = getDifference(configuration, read.configuration);
		const headline = changes.length === 0 ? `${file} is the same as version ${version}.` : `${file} differs from version ${version}:`;
		return createSuccess([headline, ...changes.map(change => `  ${formatChange(change)}`)], {version, changes});
	});

/** Lists the newest versions. */
export const listHistory = async (session: Session, count: number): Promise<Result> =>
	withKeyValue(session, async keyValue => {
		const readings = await readHistory(keyValue, count);
		const failed = readings.find(reading => reading.kind === 'unavailable');
		if (failed !== undefined) {
			return createReadFailure(failed, 'history');
		}

		const summaries = readings.flatMap(reading => reading.kind === 'found' ? [getVersionSummary(reading.stored.version)] : []);
		return createSuccess(formatTable(summaries, ['version', 'accepted', 'author', 'note']), summaries);
	});
