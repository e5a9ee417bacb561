import type {Clock} from '@gentianlift/clock';
import type {ConfigurationAnswer, HostId, PeerCalls} from '@gentianlift/types';
import type {Contact} from './contact.js';
import {getVersion} from './follower-state.js';
import type {Holder} from './holder.js';
import {unpackVersion} from './pack.js';

/** What a peer answered, or that it didn't. */
export type PeerReading = {kind: 'answered'; answer: ConfigurationAnswer; confirmedAt: number | undefined} | {kind: 'failed'};

/** Asks a peer for its version, without applying it. */
export type PeerReader = (host: HostId) => Promise<PeerReading>;

/** What a reader of peers needs. */
export type PeerReaderOptions = {
	clock: Clock;
	peers: Pick<PeerCalls, 'readConfiguration'>;
	holder: Holder;
	contact: Contact;
};

const getUnpacked = ({packed, ...answer}: ConfigurationAnswer): ConfigurationAnswer => {
	const newest = packed === undefined ? answer.newest : unpackVersion(packed);
	return newest === undefined ? answer : {...answer, newest};
};

/** Creates a reader of peers. The moment of confirmation counts from before the call, so delays only make it older. */
export const createPeerReader = ({clock, peers, holder, contact}: PeerReaderOptions): PeerReader => async host => {
	const askedAt = clock.monotonic();
	const outcome = await peers.readConfiguration(host, {after: getVersion(holder.getState())});
	if (outcome.kind !== 'answered') {
		return {kind: 'failed'};
	}

	contact.note();
	const answer = getUnpacked(outcome.answer);
	return {kind: 'answered', answer, confirmedAt: answer.age === undefined ? undefined : askedAt - answer.age};
};

/** Applies what a peer answered to the version in force. */
export const applyReading = (holder: Holder, reading: PeerReading): void => {
	if (reading.kind === 'failed') {
		return;
	}

	const {answer: {newest, version}, confirmedAt} = reading;
	if (newest !== undefined) {
		holder.offerVersion(newest, confirmedAt);
	} else if (version !== undefined && confirmedAt !== undefined) {
		holder.confirm(version, confirmedAt);
	}
};
