import {formatDiagnostic, parseVersionText} from '@gentianlift/config';
import type {
	Configuration, ConfigurationVersion, Entry, KeyValueService,
} from '@gentianlift/types';
import {currentKey, getHistoryKey} from './store-keys.js';

/** An accepted version and the revision under which the service holds it. */
export type StoredVersion = {revision: number; text: string; version: ConfigurationVersion};

/** Outcome of a read of an accepted version. */
export type VersionReading
	= | {kind: 'found'; stored: StoredVersion}
		| {kind: 'absent'}
		| {kind: 'unavailable'; reason: string};

/** Takes any configuration: what was accepted once stays readable after the rules for configurations have changed. */
const acceptAny = (document: unknown) => ({kind: 'valid', value: document as Configuration} as const);

const getReading = ({key, value, revision}: Entry): VersionReading => {
	const parsed = parseVersionText(value, acceptAny);
	if (parsed.kind === 'valid') {
		return {kind: 'found', stored: {revision, text: value, version: parsed.value}};
	}

	const faults = parsed.faults.map(fault => formatDiagnostic(fault));
	return {kind: 'unavailable', reason: `${key} holds no accepted version: ${faults.join('; ')}`};
};

const readVersionAt = async (keyValue: Pick<KeyValueService, 'read'>, key: string): Promise<VersionReading> => {
	const outcome = await keyValue.read(key);
	return outcome.kind === 'found' ? getReading(outcome.entry) : outcome;
};

/** Reads the newest accepted version. */
export const readCurrentVersion = async (keyValue: Pick<KeyValueService, 'read'>): Promise<VersionReading> =>
	readVersionAt(keyValue, currentKey);

/** Reads an accepted version by its number, the newest or one of the history. */
export const readVersion = async (keyValue: Pick<KeyValueService, 'read'>, version: number): Promise<VersionReading> => {
	const current = await readCurrentVersion(keyValue);
	if (current.kind !== 'found' || current.stored.version.version === version) {
		return current;
	}

	return readVersionAt(keyValue, getHistoryKey(version));
};

/** Reads the newest versions, the newest first; those that were removed are left out. */
export const readHistory = async (keyValue: Pick<KeyValueService, 'read'>, count: number): Promise<VersionReading[]> => {
	const current = await readCurrentVersion(keyValue);
	if (current.kind !== 'found') {
		return current.kind === 'absent' ? [] : [current];
	}

	const newest = current.stored.version.version;
	const numbers = Array.from({length: Math.min(count, newest) - 1}, (_, index) => newest - 1 - index);
	const older = await Promise.all(numbers.map(async number => readVersionAt(keyValue, getHistoryKey(number))));
	return [current, ...older.filter(({kind}) => kind !== 'absent')];
};
