/** What a host has of a limit. */
export type Holding = {
	/** What the host asks for. */
	wanted: number;
	/** What it may still use by its last lease, or uses beyond it. */
	reserved: number;
};

/**
 * Gets the share of one host: an even split in which hosts that want less leave the rest to others,
 * and never more than the others' reservations leave.
 */
export const getShare = (amount: number, own: Holding, others: readonly Holding[]): number => {
	const reserved = others.reduce((sum, holding) => sum + holding.reserved, 0);
	const fair = getFairShare(amount, own.wanted, others.map(({wanted}) => wanted));
	return Math.max(0, Math.min(fair, amount - reserved));
};

/** Gets what one of several gets in a max-min fair split; what nobody wants is split evenly on top. */
const getFairShare = (amount: number, own: number, others: readonly number[]): number => {
	const sorted = [...others, own].toSorted((first, second) => first - second);
	let left = amount;
	for (const [index, wanted] of sorted.entries()) {
		const even = left / (sorted.length - index);
		if (wanted >= even) {
			return Math.min(own, even);
		}

		left -= wanted;
	}

	return own + (left / sorted.length);
};
