import type {Clock} from '@gentianlift/clock';
import type {ConfigurationResponse, HostId, PeerCalls} from '@gentianlift/types';
import type {ActiveVersion} from './active-version.js';
import {getVersionNumber} from './follower-state.js';
import type {LastContact} from './last-contact.js';
import {unpackVersion} from './pack.js';

/** A peer's answer, or the failure to get one. `confirmedAt` is when the answered version was last known to be the newest. */
export type PeerReadResult = {kind: 'answered'; answer: ConfigurationResponse; confirmedAt: number | undefined} | {kind: 'failed'};

/** Reads the version of a peer without applying it. */
export type PeerReader = (host: HostId) => Promise<PeerReadResult>;

/** Dependencies of a peer reader. */
export type PeerReaderOptions = {
	clock: Clock;
	peers: Pick<PeerCalls, 'readConfiguration'>;
	activeVersion: ActiveVersion;
	lastContact: LastContact;
};

const unpackAnswer = ({packed, ...answer}: ConfigurationResponse): ConfigurationResponse => {
	const newest = packed === undefined ? answer.newest : unpackVersion(packed);
	return newest === undefined ? answer : {...answer, newest};
};

/** Creates a peer reader. It computes the confirmation time from the start of the call, so that network delay can only make it older. */
export const createPeerReader = ({clock, peers, activeVersion, lastContact}: PeerReaderOptions): PeerReader => async host => {
	const requestedAt = clock.monotonic();
	const outcome = await peers.readConfiguration(host, {after: getVersionNumber(activeVersion.getState())});
	if (outcome.kind !== 'answered') {
		return {kind: 'failed'};
	}

	lastContact.record();
	const answer = unpackAnswer(outcome.answer);
	return {kind: 'answered', answer, confirmedAt: answer.age === undefined ? undefined : requestedAt - answer.age};
};

/** Applies a peer's answer to the active version. */
export const applyPeerResult = (activeVersion: ActiveVersion, result: PeerReadResult): void => {
	if (result.kind === 'failed') {
		return;
	}

	const {answer: {newest, version}, confirmedAt} = result;
	if (newest !== undefined) {
		activeVersion.applyPeerVersion(newest, confirmedAt);
	} else if (version !== undefined && confirmedAt !== undefined) {
		activeVersion.confirm(version, confirmedAt);
	}
};
