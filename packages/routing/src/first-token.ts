import type {Milliseconds, Rank} from '@gentianlift/types';
import type {Candidate} from './choose-upstream.js';
import {sumRankTokens} from './rank-tokens.js';

/** Prompt tokens that the other hosts have queued, of a call's rank and of higher ones. */
export type TokensElsewhere = {same: number; higher: number};

/** Returns the prompt tokens that the other hosts have queued for the candidates of a call of a rank. */
export const getTokensElsewhere = (candidates: ReadonlyArray<Pick<Candidate, 'queuedElsewhere'>>, rank: Rank): TokensElsewhere => {
	let same = 0;
	let sameAndHigher = 0;
	for (const {queuedElsewhere} of candidates) {
		same += queuedElsewhere.get(rank) ?? 0;
		sameAndHigher += sumRankTokens(queuedElsewhere, rank);
	}

	return {same, higher: sameAndHigher - same};
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
