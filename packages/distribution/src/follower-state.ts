import type {ConfigurationVersion, Milliseconds} from '@gentianlift/types';

/** A host's knowledge of the accepted configuration. */
export type FollowerState = {
	/** The active version; only a higher one replaces it. */
	current?: ConfigurationVersion;
	/** Monotonic time at which `current` was last known to be the newest accepted version. */
	confirmedAt?: Milliseconds;
	/** Highest version number that failed validation on this host; 0 if there was none. */
	highestInvalidVersion: number;
};

/** Order of a version relative to the active one; `split` is a version with the same number and another token. */
export type VersionOrder = 'newer' | 'same' | 'older' | 'split';

/** Creates the state of a host without a version. */
export const createFollowerState = (): FollowerState => ({highestInvalidVersion: 0});

/** Returns the number of the active version; 0 if there is none. */
export const getVersionNumber = ({current}: FollowerState): number => current?.version ?? 0;

/** Compares an accepted version with the active one. */
export const compareVersions = ({current}: FollowerState, candidate: ConfigurationVersion): VersionOrder => {
	if (current === undefined || candidate.version > current.version) {
		return 'newer';
	}

	if (candidate.version < current.version) {
		return 'older';
	}

	return candidate.token === current.token ? 'same' : 'split';
};

const getLater = (first: Milliseconds | undefined, second: Milliseconds | undefined): Milliseconds | undefined =>
	first === undefined || second === undefined ? first ?? second : Math.max(first, second);

/**
Applies a valid version that was the newest at `confirmedAt`. Without `confirmedAt`, it is not known whether it is the newest.
A lower version leaves the state unchanged, so messages may arrive in any order.
*/
export const applyVersion = (state: FollowerState, candidate: ConfigurationVersion, confirmedAt?: Milliseconds): FollowerState => {
	switch (compareVersions(state, candidate)) {
		case 'newer': {
			return {...state, current: candidate, confirmedAt};
		}

		case 'same': {
			return {...state, confirmedAt: getLater(state.confirmedAt, confirmedAt)};
		}

		case 'older':
		case 'split': {
			return state;
		}
	}
};

/** Records that the version with this number was the newest at `confirmedAt`, if it is the active one. */
export const applyConfirmation = (state: FollowerState, version: number, confirmedAt: Milliseconds): FollowerState =>
	version > 0 && version === getVersionNumber(state) ? {...state, confirmedAt: getLater(state.confirmedAt, confirmedAt)} : state;

/** Records that a version failed validation on this host, so that it isn't fetched repeatedly. */
export const recordInvalidVersion = (state: FollowerState, version: number): FollowerState =>
	({...state, highestInvalidVersion: Math.max(state.highestInvalidVersion, version)});

/** Whether a version is newer than the active one and than any that failed validation on this host. */
export const isCandidateVersion = (state: FollowerState, version: number): boolean => version > getVersionNumber(state) && version > state.highestInvalidVersion;
