import type {Clock} from '@gentianlift/clock';
import {
	parseConfiguration, type FieldChange, type ConfigurationParser, type Diagnostic,
} from '@gentianlift/config';
import type {
	ConfigurationVersion, KeyValueService, Milliseconds, WriteOutcome,
} from '@gentianlift/types';
import {getPublishStep, type ObservedVersions, type Publication} from './publish-state.js';
import {currentVersionKey, getHistoryKey} from './store-keys.js';
import {
	readCurrentVersion, readVersion, type StoredVersion, type VersionReadOutcome,
} from './store.js';

/** Dependencies and options of `publishConfiguration`. */
export type PublishOptions = {
	clock: Clock;
	keyValue: Pick<KeyValueService, 'read' | 'compareAndSwap' | 'remove'>;
	parse?: ConfigurationParser;
	/** Time after which no further attempt is made. */
	timeout?: Milliseconds;
};

/** A configuration document to publish, with its base version, token, author and note. */
export type PublishRequest = Omit<Publication, 'configuration'> & {document: unknown};

/** Outcome of a publication. With `unknown`, the version may still be accepted later. */
export type PublishOutcome
	= | {kind: 'applied'; version: ConfigurationVersion}
		| {kind: 'unchanged'; version: ConfigurationVersion}
		| {kind: 'conflict'; current?: ConfigurationVersion; changes: FieldChange[]}
		| {kind: 'invalid'; faults: Diagnostic[]}
		| {kind: 'unavailable'; reason: string}
		| {kind: 'unknown'; token: string; reason: string};

const defaultTimeoutMs = 8000;
const retryIntervalMs = 250;
/** Number of versions that the history keeps; older ones are removed. */
const maxHistoryVersions = 200;

/** State of one call of `publishConfiguration`, kept between its reads and writes. */
type PublishAttempt = {
	options: Required<PublishOptions>;
	publication: Publication;
	/** Whether one of the writes so far may have taken effect or may still take effect. */
	hasUnsettledWrite: boolean;
	/** Whether the history already holds the base version. */
	isBaseArchived: boolean;
	/** Reason of the latest failed call to the key-value service; empty if there was none. */
	lastFailure: string;
};

/** Copies the current version into the history before a newer one replaces it, so that the history has no gaps. */
const archiveVersion = async (
	keyValue: PublishOptions['keyValue'],
	{version, text}: Pick<StoredVersion, 'version' | 'text'>,
): Promise<WriteOutcome> => keyValue.compareAndSwap({key: getHistoryKey(version.version), value: text, expected: 0});

const createVersion = ({options, publication}: PublishAttempt, version: number): ConfigurationVersion => ({
	version,
	token: publication.token,
	author: publication.author,
	acceptedAt: options.clock.now(),
	note: publication.note,
	configuration: publication.configuration,
});

/** Archives the current version if necessary and writes the new one. Returns undefined if the outcome has to be read from the service. */
const writeVersion = async (attempt: PublishAttempt, versionNumber: number, stored: StoredVersion | undefined): Promise<PublishOutcome | undefined> => {
	const {options} = attempt;
	const archived = stored === undefined || attempt.isBaseArchived ? undefined : await archiveVersion(options.keyValue, stored);
	if (archived?.kind === 'unavailable' || archived?.kind === 'unknown') {
		attempt.lastFailure = archived.reason;
		return undefined;
	}

	const version = createVersion(attempt, versionNumber);
	const outcome = await options.keyValue.compareAndSwap({
		key: currentVersionKey, value: JSON.stringify(version), expected: stored?.revision ?? 0,
	});
	switch (outcome.kind) {
		case 'applied': {
			return {kind: 'applied', version};
		}

		case 'unknown': {
			attempt.hasUnsettledWrite = true;
			attempt.lastFailure = outcome.reason;
			return undefined;
		}

		// The service may have received the write twice: the first delivery took effect and the second was rejected.
		case 'rejected': {
			attempt.hasUnsettledWrite = true;
			return undefined;
		}

		case 'unavailable': {
			attempt.lastFailure = outcome.reason;
			return undefined;
		}
	}
};

/** Performs the step that follows from what was read. Returns undefined if the service has to be read again. */
const performStep = async (attempt: PublishAttempt, observed: ObservedVersions, stored: StoredVersion | undefined): Promise<PublishOutcome | undefined> => {
	const step = getPublishStep(attempt.publication, observed, attempt.hasUnsettledWrite);
	switch (step.kind) {
		case 'write': {
			return writeVersion(attempt, step.version, stored);
		}

		case 'read-successor': {
			const readOutcome = await readVersion(attempt.options.keyValue, step.version);
			return readOutcome.kind === 'found' ? performStep(attempt, {...observed, successor: readOutcome.stored.version}, stored) : undefined;
		}

		case 'accepted': {
			return {kind: 'applied', version: step.version};
		}

		case 'unchanged':
		case 'conflict': {
			return step;
		}
	}
};

/** Reads the current version and, in parallel because each call may be slow, whether the history holds the base version. */
const readCurrentAndBase = async (attempt: PublishAttempt): Promise<VersionReadOutcome> => {
	const {options: {keyValue}, publication: {base}} = attempt;
	const [current, history] = await Promise.all([
		readCurrentVersion(keyValue),
		attempt.isBaseArchived || base === 0 ? undefined : keyValue.read(getHistoryKey(base)),
	]);
	attempt.isBaseArchived ||= history?.kind === 'found';
	return current;
};

const readAndPerformStep = async (attempt: PublishAttempt): Promise<PublishOutcome | undefined> => {
	const readOutcome = await readCurrentAndBase(attempt);
	switch (readOutcome.kind) {
		case 'found': {
			return performStep(attempt, {current: readOutcome.stored.version}, readOutcome.stored);
		}

		case 'absent': {
			return performStep(attempt, {}, undefined);
		}

		case 'unavailable': {
			attempt.lastFailure = readOutcome.reason;
			return undefined;
		}
	}
};

/** Returns the outcome of a publication that wasn't resolved before its timeout. */
const getTimeoutOutcome = ({hasUnsettledWrite, publication, lastFailure}: PublishAttempt): PublishOutcome =>
	hasUnsettledWrite ? {kind: 'unknown', token: publication.token, reason: lastFailure} : {kind: 'unavailable', reason: lastFailure};

/**
Publishes a configuration as the version after its base.
A write whose reply was lost is resolved by further compare-and-swaps until the timeout; the outcome is `unknown` only if that fails.
*/
export const publishConfiguration = async (options: PublishOptions, request: PublishRequest): Promise<PublishOutcome> => {
	const {clock, keyValue, parse = parseConfiguration, timeout = defaultTimeoutMs} = options;
	const {document, ...publicationFields} = request;
	const parsed = parse(document);
	if (parsed.kind === 'invalid') {
		return parsed;
	}

	const attempt: PublishAttempt = {
		options: {
			clock, keyValue, parse, timeout,
		},
		publication: {...publicationFields, configuration: parsed.value},
		hasUnsettledWrite: false,
		isBaseArchived: false,
		lastFailure: '',
	};
	const deadline = clock.monotonic() + timeout;
	do {
		// eslint-disable-next-line no-await-in-loop -- Each iteration depends on the result of the previous one.
		const outcome = await readAndPerformStep(attempt);
		if (outcome !== undefined) {
			return outcome;
		}

		// eslint-disable-next-line no-await-in-loop -- Waits before the next iteration.
		await clock.sleep(retryIntervalMs);
	} while (clock.monotonic() < deadline);

	return getTimeoutOutcome(attempt);
};

/**
Copies an accepted version into the history, so that the next publication needn't write it first,
and removes the version that exceeds the length of the history.
*/
export const updateHistory = async (keyValue: PublishOptions['keyValue'], version: ConfigurationVersion): Promise<void> => {
	await archiveVersion(keyValue, {version, text: JSON.stringify(version)});
	if (version.version <= maxHistoryVersions) {
		return;
	}

	const key = getHistoryKey(version.version - maxHistoryVersions);
	const outcome = await keyValue.read(key);
	if (outcome.kind === 'found') {
		await keyValue.remove(key, outcome.entry.revision);
	}
};
