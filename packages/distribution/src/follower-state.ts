import type {ConfigurationVersion, Milliseconds} from '@gentianlift/types';

/** What a host holds of the configuration. */
export type FollowerState = {
	/** The version in force; only a higher one replaces it. */
	current?: ConfigurationVersion;
	/** Monotonic moment at which `current` was last known to be the newest accepted version. */
	confirmedAt?: Milliseconds;
	/** Highest version that this host found to be invalid. */
	refused: number;
};

/** Where a version stands beside the one in force. */
export type Standing = 'newer' | 'same' | 'older' | 'split';

/** Creates the state of a host that holds nothing. */
export const createFollowerState = (): FollowerState => ({refused: 0});

/** Gets the number of the version in force; 0 if there is none. */
export const getVersion = ({current}: FollowerState): number => current?.version ?? 0;

/** Gets where an accepted version stands; `split` is a version with the number of the one in force and other content. */
export const getStanding = ({current}: FollowerState, offered: ConfigurationVersion): Standing => {
	if (current === undefined || offered.version > current.version) {
		return 'newer';
	}

	if (offered.version < current.version) {
		return 'older';
	}

	return offered.token === current.token ? 'same' : 'split';
};

const getLatest = (known: Milliseconds | undefined, found: Milliseconds | undefined): Milliseconds | undefined =>
	known === undefined || found === undefined ? known ?? found : Math.max(known, found);

/**
Applies a valid version that was the newest at `confirmedAt`; without a moment, nobody knows whether it is the newest.
A lower version changes nothing, so messages may arrive in any order.
*/
export const applyVersion = (state: FollowerState, offered: ConfigurationVersion, confirmedAt?: Milliseconds): FollowerState => {
	switch (getStanding(state, offered)) {
		case 'newer': {
			return {...state, current: offered, confirmedAt};
		}

		case 'same': {
			return {...state, confirmedAt: getLatest(state.confirmedAt, confirmedAt)};
		}

		case 'older':
		case 'split': {
			return state;
		}
	}
};

/** Applies word from a peer that the version of this number was the newest at `confirmedAt`. */
export const applyConfirmation = (state: FollowerState, version: number, confirmedAt: Milliseconds): FollowerState =>
	version > 0 && version === getVersion(state) ? {...state, confirmedAt: getLatest(state.confirmedAt, confirmedAt)} : state;

/** Notes that a version is invalid here, so that it isn't fetched again and again. */
export const applyRefusal = (state: FollowerState, version: number): FollowerState =>
	({...state, refused: Math.max(state.refused, version)});

/** Whether a version that others hold is worth fetching. */
export const isWanted = (state: FollowerState, version: number): boolean => version > getVersion(state) && version > state.refused;
