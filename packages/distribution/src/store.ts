import {formatDiagnostic, parseVersionText} from '@gentianlift/config';
import type {
	Configuration, ConfigurationVersion, Entry, KeyValueService,
} from '@gentianlift/types';
import {currentVersionKey, getHistoryKey} from './store-keys.js';

/** An accepted version with its stored text and the revision of its key in the key-value service. */
export type StoredVersion = {revision: number; text: string; version: ConfigurationVersion};

/** Outcome of reading an accepted version. */
export type VersionReadOutcome
	= | {kind: 'found'; stored: StoredVersion}
		| {kind: 'absent'}
		| {kind: 'unavailable'; reason: string};

/** Accepts a stored configuration without validation, so that old versions stay readable after the validation rules change. */
const skipValidation = (document: unknown) => ({kind: 'valid', value: document as Configuration} as const);

/** Parses an entry of the key-value service as an accepted version. */
const parseEntry = ({key, value, revision}: Entry): VersionReadOutcome => {
	const parsed = parseVersionText(value, skipValidation);
	if (parsed.kind === 'valid') {
		return {kind: 'found', stored: {revision, text: value, version: parsed.value}};
	}

	const diagnostics = parsed.faults.map(fault => formatDiagnostic(fault));
	return {kind: 'unavailable', reason: `${key} holds no accepted version: ${diagnostics.join('; ')}`};
};

const readVersionAt = async (keyValue: Pick<KeyValueService, 'read'>, key: string): Promise<VersionReadOutcome> => {
	const outcome = await keyValue.read(key);
	return outcome.kind === 'found' ? parseEntry(outcome.entry) : outcome;
};

/** Reads the newest accepted version. */
export const readCurrentVersion = async (keyValue: Pick<KeyValueService, 'read'>): Promise<VersionReadOutcome> =>
	readVersionAt(keyValue, currentVersionKey);

/** Reads an accepted version by its number, the newest or one of the history. */
export const readVersion = async (keyValue: Pick<KeyValueService, 'read'>, version: number): Promise<VersionReadOutcome> => {
	const current = await readCurrentVersion(keyValue);
	if (current.kind !== 'found' || current.stored.version.version === version) {
		return current;
	}

	return readVersionAt(keyValue, getHistoryKey(version));
};

/** Reads up to `count` of the newest versions, the newest first. Versions that were removed from the history are left out. */
export const readHistory = async (keyValue: Pick<KeyValueService, 'read'>, count: number): Promise<VersionReadOutcome[]> => {
	const current = await readCurrentVersion(keyValue);
	if (current.kind !== 'found') {
		return current.kind === 'absent' ? [] : [current];
	}

	const newestNumber = current.stored.version.version;
	const olderNumbers = Array.from({length: Math.min(count, newestNumber) - 1}, (_, index) => newestNumber - 1 - index);
	const olderOutcomes = await Promise.all(olderNumbers.map(async number => readVersionAt(keyValue, getHistoryKey(number))));
	return [current, ...olderOutcomes.filter(({kind}) => kind !== 'absent')];
};
