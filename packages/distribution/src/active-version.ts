import {
	parseVersion, parseVersionText, type ConfigurationParser, type ParseResult,
} from '@gentianlift/config';
import type {Metrics} from '@gentianlift/metrics';
import type {ConfigurationVersion, Entry, Milliseconds} from '@gentianlift/types';
import {
	applyConfirmation, applyVersion, compareVersions, createFollowerState, getVersionNumber, isCandidateVersion, recordInvalidVersion, type FollowerState,
} from './follower-state.js';

/** Called with each version that becomes active. */
export type ChangeListener = (version: ConfigurationVersion) => void;

/** Where a host received a version from. */
export type VersionSource = 'service' | 'peer';

/** The active version of a host and the only way to change it. */
export type ActiveVersion = {
	getState: () => FollowerState;
	/** Returns the highest revision read from the key-value service; 0 if nothing was read yet. */
	getLatestRevision: () => number;
	/** Applies an entry that the key-value service returned to a call made at `requestedAt`; true if its version became active. */
	applyEntry: (entry: Entry, requestedAt: Milliseconds) => boolean;
	/** Applies a version that a peer returned; true if it became active. */
	applyPeerVersion: (candidate: ConfigurationVersion, confirmedAt: Milliseconds | undefined) => boolean;
	/** Records that the version with this number was the newest at `confirmedAt`, if it is the active one. */
	confirm: (version: number, confirmedAt: Milliseconds) => void;
	/** Registers a listener for each version that becomes active from now on. */
	onChange: (listener: ChangeListener) => void;
};

/** A parsed version that may become active; `claimedVersion` is the number that it states, also if it is invalid. */
type Candidate = {parsed: ParseResult<ConfigurationVersion>; claimedVersion: number; source: VersionSource; confirmedAt: Milliseconds | undefined};

/** Returns the version number that an unvalidated text states; 0 if it states none. */
const getClaimedVersion = (text: string): number => {
	try {
		const {version} = JSON.parse(text) as {version?: unknown};
		return typeof version === 'number' ? version : 0;
	} catch {
		return 0;
	}
};

/** Creates the state of a host that has no active version yet. */
export const createActiveVersion = (parse: ConfigurationParser, metrics: Metrics): ActiveVersion => {
	let state = createFollowerState();
	let latestEntry = {revision: 0, version: 0};
	const listeners: ChangeListener[] = [];

	const notify = (version: ConfigurationVersion): void => {
		metrics.setGauge('configuration_version', version.version);
		for (const listener of listeners) {
			try {
				listener(version);
			} catch {
				metrics.count('configuration_listener_failed');
			}
		}
	};

	const applyCandidate = ({parsed, claimedVersion, source, confirmedAt}: Candidate): boolean => {
		if (parsed.kind === 'invalid') {
			state = recordInvalidVersion(state, claimedVersion);
			metrics.count('configuration_refused', {source});
			return false;
		}

		const order = compareVersions(state, parsed.value);
		state = applyVersion(state, parsed.value, confirmedAt);
		metrics.count('configuration_offered', {source, standing: order});
		if (order !== 'newer') {
			return false;
		}

		notify(parsed.value);
		return true;
	};

	return {
		getState: () => state,
		getLatestRevision: () => latestEntry.revision,
		applyEntry({revision, value}, requestedAt) {
			if (revision < latestEntry.revision) {
				metrics.count('configuration_stale_read');
				return false;
			}

			if (revision === latestEntry.revision) {
				state = applyConfirmation(state, latestEntry.version, requestedAt);
				return false;
			}

			const claimedVersion = getClaimedVersion(value);
			latestEntry = {revision, version: claimedVersion};
			return applyCandidate({
				parsed: parseVersionText(value, parse), claimedVersion, source: 'service', confirmedAt: requestedAt,
			});
		},
		applyPeerVersion(candidate, confirmedAt) {
			const isKnown = candidate.version === getVersionNumber(state) && candidate.token === state.current?.token;
			if (isKnown && confirmedAt !== undefined) {
				state = applyConfirmation(state, candidate.version, confirmedAt);
			}

			return isCandidateVersion(state, candidate.version) && applyCandidate({
				parsed: parseVersion(candidate, parse), claimedVersion: candidate.version, source: 'peer', confirmedAt,
			});
		},
		confirm(version, confirmedAt) {
			state = applyConfirmation(state, version, confirmedAt);
		},
		onChange(listener) {
			listeners.push(listener);
		},
	};
};
