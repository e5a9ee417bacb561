import type {Rank} from '@gentianlift/types';

/** Uncached prompt tokens of queued calls by their rank; ranks without tokens are absent. */
export type RankTokens = ReadonlyMap<Rank, number>;

/** No queued tokens. */
export const noRankTokens: RankTokens = new Map();

/** Adds a number of tokens, which may be negative, for each rank; what would fall below 0 is absent. */
export const addRankTokens = (tokens: RankTokens, change: RankTokens, factor: 1 | -1 = 1): RankTokens => {
	if (change.size === 0) {
		return tokens;
	}

	const sum = new Map(tokens);
	for (const [rank, count] of change) {
		const next = (sum.get(rank) ?? 0) + (factor * count);
		if (next > 0) {
			sum.set(rank, next);
		} else {
			sum.delete(rank);
		}
	}

	return sum;
};

/** Returns the tokens of all ranks, or of those that go before or are `lowest`. */
export const sumRankTokens = (tokens: RankTokens, lowest: Rank = Number.POSITIVE_INFINITY): number => {
	let sum = 0;
	for (const [rank, count] of tokens) {
		sum += rank <= lowest ? count : 0;
	}

	return sum;
};

/** Returns how tokens have changed, with negative numbers for less; ranks whose change is below the minimum are left out unless they have no tokens any more. */
export const getRankChange = (before: RankTokens, after: RankTokens, minimum: number): RankTokens => {
	const change = new Map<Rank, number>();
	for (const rank of new Set([...before.keys(), ...after.keys()])) {
		const difference = (after.get(rank) ?? 0) - (before.get(rank) ?? 0);
		if (Math.abs(difference) >= minimum || !after.has(rank)) {
			change.set(rank, difference);
		}
	}

	return change;
};
