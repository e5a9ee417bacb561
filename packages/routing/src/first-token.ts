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

/** Returns the time until it is the turn of a call with `tokensAhead` queued prompt tokens ahead of it. */
export type TurnTimes = (tokensAhead: number) => Milliseconds;

/** Backlogs up to that of an upstream, the shortest first. */
type Level = {
	/** Prefill rate of the upstreams up to this one, in tokens per millisecond, and the tokens of their backlogs. */
	rate: number;
	backlogTokens: number;
	/** Tokens that fill the upstreams before this one up to its backlog. */
	tokensBelow: number;
};

const buildLevels = (upstreams: ReadonlyArray<Pick<Candidate, 'backlog' | 'prefillRate'>>): Level[] => {
	let rate = 0;
	let backlogTokens = 0;
	return upstreams.toSorted((one, other) => one.backlog - other.backlog).map(({backlog, prefillRate}) => {
		const tokensBelow = (backlog * rate) - backlogTokens;
		rate += prefillRate;
		backlogTokens += backlog * prefillRate;
		return {rate, backlogTokens, tokensBelow};
	});
};

/** Returns the last level that a number of tokens reaches; undefined without levels. */
const findLevel = (levels: readonly Level[], tokens: number): Level | undefined => {
	let low = 0;
	let high = levels.length;
	while (high - low > 1) {
		const middle = Math.floor((low + high) / 2);
		if (levels[middle]!.tokensBelow < tokens) {
			low = middle;
		} else {
			high = middle;
		}
	}

	return levels[low];
};

/**
 * Prepares the times until queued calls have their turn. A queued call isn't bound to the upstream that it waits for, so
 * the tokens ahead fill the upstreams with the shortest backlogs first. Each lookup takes logarithmic time.
 */
export const createTurnTimes = (upstreams: ReadonlyArray<Pick<Candidate, 'backlog' | 'prefillRate'>>): TurnTimes => {
	const levels = buildLevels(upstreams);
	return tokensAhead => {
		const level = findLevel(levels, tokensAhead);
		return level === undefined ? Number.POSITIVE_INFINITY : (tokensAhead + level.backlogTokens) / level.rate;
	};
};

/** Returns the time until it is the turn of a call with `tokensAhead` queued prompt tokens ahead of it; see `createTurnTimes`. */
export const getTimeToTurn = (candidates: readonly Candidate[], tokensAhead: number): Milliseconds => createTurnTimes(candidates)(tokensAhead);

/** Returns the expected time until the first token of a call whose turn comes at `turn`, from the candidate that returns it first. */
export const getTimeToFirstToken = (candidates: readonly Candidate[], turn: Milliseconds): Milliseconds => {
	let shortest = Number.POSITIVE_INFINITY;
	for (const {backlog, uncachedTokens, prefillRate} of candidates) {
		shortest = Math.min(shortest, Math.max(turn, backlog) + (uncachedTokens / prefillRate));
	}

	return shortest;
};
