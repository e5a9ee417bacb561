import type {Clock} from '@gentianlift/clock';
import {
	parseConfiguration, type Change, type ConfigurationParse, type Diagnostic,
} from '@gentianlift/config';
import type {
	ConfigurationVersion, KeyValueService, Milliseconds, WriteOutcome,
} from '@gentianlift/types';
import {getPublishStep, type Finding, type Publication} from './publish-state.js';
import {currentKey, getHistoryKey} from './store-keys.js';
import {
	readCurrentVersion, readVersion, type StoredVersion, type VersionReading,
} from './store.js';

/** What a publisher needs. */
export type PublishOptions = {
	clock: Clock;
	keyValue: Pick<KeyValueService, 'read' | 'compareAndSwap' | 'remove'>;
	parse?: ConfigurationParse;
	/** Time after which the publisher gives up. */
	limit?: Milliseconds;
};

/** A document to publish, and who does it. */
export type PublishRequest = Omit<Publication, 'configuration'> & {document: unknown};

/** Outcome of a publication; `unknown` may still be accepted later. */
export type PublishOutcome
	= | {kind: 'applied'; version: ConfigurationVersion}
		| {kind: 'unchanged'; version: ConfigurationVersion}
		| {kind: 'conflict'; current?: ConfigurationVersion; changes: Change[]}
		| {kind: 'invalid'; faults: Diagnostic[]}
		| {kind: 'unavailable'; reason: string}
		| {kind: 'unknown'; token: string; reason: string};

const defaultLimit = 8000;
const retryInterval = 250;
/** Versions kept in the history. */
const historyLength = 200;

type Attempt = {
	options: Required<PublishOptions>;
	publication: Publication;
	/** Whether one of the writes may have taken effect or may still do so. */
	isWritten: boolean;
	/** Whether the history holds the base. */
	isBaseKept: boolean;
	reason: string;
};

/** Keeps the current version in the history before a newer one replaces it, so that the history never has a hole. */
const keepInHistory = async (
	keyValue: PublishOptions['keyValue'],
	{version, text}: Pick<StoredVersion, 'version' | 'text'>,
): Promise<WriteOutcome> => keyValue.compareAndSwap({key: getHistoryKey(version.version), value: text, expected: 0});

const createVersion = ({options, publication}: Attempt, version: number): ConfigurationVersion => ({
	version,
	token: publication.token,
	author: publication.author,
	acceptedAt: options.clock.now(),
	note: publication.note,
	configuration: publication.configuration,
});

const write = async (attempt: Attempt, number: number, stored: StoredVersion | undefined): Promise<PublishOutcome | undefined> => {
	const {options} = attempt;
	const kept = stored === undefined || attempt.isBaseKept ? undefined : await keepInHistory(options.keyValue, stored);
	if (kept?.kind === 'unavailable' || kept?.kind === 'unknown') {
		attempt.reason = kept.reason;
		return undefined;
	}

	const version = createVersion(attempt, number);
	const outcome = await options.keyValue.compareAndSwap({
		key: currentKey, value: JSON.stringify(version), expected: stored?.revision ?? 0,
	});
	switch (outcome.kind) {
		case 'applied': {
			return {kind: 'applied', version};
		}

		case 'unknown': {
			attempt.isWritten = true;
			attempt.reason = outcome.reason;
			return undefined;
		}

		// The rejection may be of a second arrival of a write that took effect.
		case 'rejected': {
			attempt.isWritten = true;
			return undefined;
		}

		case 'unavailable': {
			attempt.reason = outcome.reason;
			return undefined;
		}
	}
};

/** Takes one round of reading and acting; undefined if another is needed. */
const takeRound = async (attempt: Attempt, found: Finding, stored: StoredVersion | undefined): Promise<PublishOutcome | undefined> => {
	const step = getPublishStep(attempt.publication, found, attempt.isWritten);
	switch (step.kind) {
		case 'write': {
			return write(attempt, step.version, stored);
		}

		case 'read-successor': {
			const reading = await readVersion(attempt.options.keyValue, step.version);
			return reading.kind === 'found' ? takeRound(attempt, {...found, successor: reading.stored.version}, stored) : undefined;
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

/** Reads the current version, and at the same time whether the history holds the base, since each call may take long. */
const readCurrentAndBase = async (attempt: Attempt): Promise<VersionReading> => {
	const {options: {keyValue}, publication: {base}} = attempt;
	const [current, history] = await Promise.all([
		readCurrentVersion(keyValue),
		attempt.isBaseKept || base === 0 ? undefined : keyValue.read(getHistoryKey(base)),
	]);
	attempt.isBaseKept ||= history?.kind === 'found';
	return current;
};

const readAndTakeRound = async (attempt: Attempt): Promise<PublishOutcome | undefined> => {
	const reading = await readCurrentAndBase(attempt);
	switch (reading.kind) {
		case 'found': {
			return takeRound(attempt, {current: reading.stored.version}, reading.stored);
		}

		case 'absent': {
			return takeRound(attempt, {}, undefined);
		}

		case 'unavailable': {
			attempt.reason = reading.reason;
			return undefined;
		}
	}
};

const getGivenUp = ({isWritten, publication, reason}: Attempt): PublishOutcome =>
	isWritten ? {kind: 'unknown', token: publication.token, reason} : {kind: 'unavailable', reason};

/**
Publishes a configuration as the version after its base.
A write whose reply was lost is settled by further compare-and-swaps until the limit; only then is the outcome `unknown`.
*/
export const publishConfiguration = async (options: PublishOptions, request: PublishRequest): Promise<PublishOutcome> => {
	const {clock, keyValue, parse = parseConfiguration, limit = defaultLimit} = options;
	const {document, ...rest} = request;
	const parsed = parse(document);
	if (parsed.kind === 'invalid') {
		return parsed;
	}

	const attempt: Attempt = {
		options: {
			clock, keyValue, parse, limit,
		},
		publication: {...rest, configuration: parsed.value},
		isWritten: false,
		isBaseKept: false,
		reason: '',
	};
	const end = clock.monotonic() + limit;
	do {
		// eslint-disable-next-line no-await-in-loop -- Each round depends on what the one before it found.
		const outcome = await readAndTakeRound(attempt);
		if (outcome !== undefined) {
			return outcome;
		}

		// eslint-disable-next-line no-await-in-loop -- A wait between two rounds.
		await clock.sleep(retryInterval);
	} while (clock.monotonic() < end);

	return getGivenUp(attempt);
};

/** Keeps an accepted version in the history at once, which saves the next publication a call, and removes the one that is too old. */
export const updateHistory = async (keyValue: PublishOptions['keyValue'], version: ConfigurationVersion): Promise<void> => {
	await keepInHistory(keyValue, {version, text: JSON.stringify(version)});
	if (version.version <= historyLength) {
		return;
	}

	const key = getHistoryKey(version.version - historyLength);
	const outcome = await keyValue.read(key);
	if (outcome.kind === 'found') {
		await keyValue.remove(key, outcome.entry.revision);
	}
};
