import {
	parseVersion, parseVersionText, type ConfigurationParse, type Parsed,
} from '@gentianlift/config';
import type {Metrics} from '@gentianlift/metrics';
import type {ConfigurationVersion, Entry, Milliseconds} from '@gentianlift/types';
import {
	applyConfirmation, applyRefusal, applyVersion, createFollowerState, getStanding, getVersion, isWanted, type FollowerState,
} from './follower-state.js';

/** Called with each version that comes into force. */
export type ChangeListener = (version: ConfigurationVersion) => void;

/** How a version reached the host. */
export type Source = 'service' | 'peer';

/** The version in force at a host, and the only way to change it. */
export type Holder = {
	getState: () => FollowerState;
	/** Revision of the newest entry seen at the service; 0 if none was seen. */
	getRevision: () => number;
	/** Offers what the service answered to a call made at `askedAt`; true if it came into force. */
	offerEntry: (entry: Entry, askedAt: Milliseconds) => boolean;
	/** Offers what a peer answered. */
	offerVersion: (document: ConfigurationVersion, confirmedAt: Milliseconds | undefined) => boolean;
	/** Notes that the version of this number was the newest at a moment. */
	confirm: (version: number, confirmedAt: Milliseconds) => void;
	onChange: (listener: ChangeListener) => void;
};

type Offer = {parsed: Parsed<ConfigurationVersion>; claimed: number; source: Source; confirmedAt: Milliseconds | undefined};

const getClaimedVersion = (text: string): number => {
	try {
		const {version} = JSON.parse(text) as {version?: unknown};
		return typeof version === 'number' ? version : 0;
	} catch {
		return 0;
	}
};

/** Creates a holder without a version. */
export const createHolder = (parse: ConfigurationParse, metrics: Metrics): Holder => {
	let state = createFollowerState();
	let seen = {revision: 0, version: 0};
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

	const offer = ({parsed, claimed, source, confirmedAt}: Offer): boolean => {
		if (parsed.kind === 'invalid') {
			state = applyRefusal(state, claimed);
			metrics.count('configuration_refused', {source});
			return false;
		}

		const standing = getStanding(state, parsed.value);
		state = applyVersion(state, parsed.value, confirmedAt);
		metrics.count('configuration_offered', {source, standing});
		if (standing !== 'newer') {
			return false;
		}

		notify(parsed.value);
		return true;
	};

	return {
		getState: () => state,
		getRevision: () => seen.revision,
		offerEntry({revision, value}, askedAt) {
			if (revision < seen.revision) {
				metrics.count('configuration_stale_read');
				return false;
			}

			if (revision === seen.revision) {
				state = applyConfirmation(state, seen.version, askedAt);
				return false;
			}

			const claimed = getClaimedVersion(value);
			seen = {revision, version: claimed};
			return offer({
				parsed: parseVersionText(value, parse), claimed, source: 'service', confirmedAt: askedAt,
			});
		},
		offerVersion(document, confirmedAt) {
			const isKnown = document.version === getVersion(state) && document.token === state.current?.token;
			if (isKnown && confirmedAt !== undefined) {
				state = applyConfirmation(state, document.version, confirmedAt);
			}

			return isWanted(state, document.version) && offer({
				parsed: parseVersion(document, parse), claimed: document.version, source: 'peer', confirmedAt,
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
