import type {Milliseconds} from '@gentianlift/types';
import type {Candidate} from './choose-upstream.js';

/** What a host knows about the queues of the fleet when it may send a queued request to an upstream. */
export type DispatchShare = {
	/** Maximum backlog at which the upstream may receive the request. */
	backlogLimit: Milliseconds;
	/** Prompt tokens of this host's queued requests for the upstream, including the request. */
	ownTokens: number;
	/** Prompt tokens of the other hosts' queued requests of the same rank that may be sent to the upstream at the same time. */
	otherTokens: number;
	/** The same of their requests of higher ranks, for which the room is kept. */
	higherRankTokens: number;
};

/** Multiple of its share that a host may send, as many of the other hosts' requests go to another upstream in the end. */
const shareFactor = 1.2;

/**
 * Returns the probability with which a host sends a queued request to an upstream in one report delay. All hosts learn at
 * the same time that the backlog has fallen below the limit, so each sends only its share of the tokens that bring it back
 * to the limit, and leaves that to the hosts which have requests of higher ranks first.
 */
export const getSendProbability = (
	{backlog, prefillRate, uncachedTokens}: Pick<Candidate, 'backlog' | 'prefillRate' | 'uncachedTokens'>,
	{backlogLimit, ownTokens, otherTokens, higherRankTokens}: DispatchShare,
): number => {
	if (otherTokens <= 0 && higherRankTokens <= 0) {
		return 1;
	}

	const room = Math.max(0, backlogLimit - backlog) * prefillRate;
	const missingTokens = Math.max(0, room - higherRankTokens);
	const ownShare = ownTokens / (ownTokens + otherTokens);
	return Math.min(1, shareFactor * missingTokens * ownShare / Math.max(1, uncachedTokens));
};
