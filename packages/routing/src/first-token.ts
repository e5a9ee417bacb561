import type {Milliseconds} from '@gentianlift/types';
import type {Candidate} from './choose-upstream.js';
import {getUpstreamKey, type UpstreamKey} from './upstream.js';

/**
 * Returns the prompt tokens that the other hosts have queued for the candidates. `ownTokensAhead` are, for each upstream,
 * those of this host's calls that count in the candidates' queue delays.
 */
export const getOtherHostsTokens = (candidates: readonly Candidate[], ownTokensAhead: ReadonlyMap<UpstreamKey, number>): number => {
	let tokens = 0;
	for (const {upstream, queueDelay, prefillRate} of candidates) {
		tokens += (queueDelay * prefillRate) - (ownTokensAhead.get(getUpstreamKey(upstream)) ?? 0);
	}

	return Math.max(0, Math.round(tokens));
};

/**
 * Returns the time until it is the turn of a call with `tokensAhead` queued prompt tokens ahead of it. A queued call isn't
 * bound to the upstream that it waits for, so the tokens ahead fill the upstreams with the shortest backlogs first.
 */
export const getTimeToTurn = (candidates: readonly Candidate[], tokensAhead: number): Milliseconds => {
	let rate = 0;
	let pendingTokens = tokensAhead;
	let turn = Number.POSITIVE_INFINITY;
	for (const {backlog, prefillRate} of candidates.toSorted((one, other) => one.backlog - other.backlog)) {
		if (backlog >= turn) {
			break;
		}

		rate += prefillRate;
		pendingTokens += backlog * prefillRate;
		turn = pendingTokens / rate;
	}

	return turn;
};

/** Returns the expected time until the first token of a call whose turn comes at `turn`, from the candidate that returns it first. */
export const getTimeToFirstToken = (candidates: readonly Candidate[], turn: Milliseconds): Milliseconds => {
	let shortest = Number.POSITIVE_INFINITY;
	for (const {backlog, uncachedTokens, prefillRate} of candidates) {
		shortest = Math.min(shortest, Math.max(turn, backlog) + (uncachedTokens / prefillRate));
	}

	return shortest;
};
