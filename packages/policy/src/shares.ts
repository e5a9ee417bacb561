import type {CustomerId, Milliseconds, Rank} from '@gentianlift/types';

/** Service by which a customer may be ahead of another before it is served after it. */
export const shareStep: Milliseconds = 500;

/** Weighted service that each customer has had inside each rank, as virtual times. */
export type Shares = {
	/** Virtual time by rank and customer. */
	readonly times: Map<string, number>;
	/** Virtual time of the last grant by rank. */
	readonly current: Map<Rank, number>;
};

/** Creates an empty record of shares. */
export const createShares = (): Shares => ({times: new Map(), current: new Map()});

const getKey = (rank: Rank, customer: CustomerId): string => `${rank}/${customer}`;

/** Gets a customer's virtual time. One that was away gets no credit for it. */
export const getVirtualTime = (shares: Shares, rank: Rank, customer: CustomerId): number =>
	Math.max(shares.times.get(getKey(rank, customer)) ?? 0, (shares.current.get(rank) ?? 0) - shareStep);

/** Charges a customer for service, in milliseconds of a slot; negative to correct an estimate. */
export const applyService = (shares: Shares, rank: Rank, charge: {customer: CustomerId; weight: number; service: Milliseconds}): void => {
	const time = getVirtualTime(shares, rank, charge.customer);
	shares.times.set(getKey(rank, charge.customer), time + (charge.service / Math.max(charge.weight, Number.EPSILON)));
};

/** Moves the rank's virtual time up to that of a customer that is served, and forgets customers that fell behind it. */
export const applyTurn = (shares: Shares, rank: Rank, customer: CustomerId): void => {
	const time = Math.max(shares.current.get(rank) ?? 0, getVirtualTime(shares, rank, customer));
	shares.current.set(rank, time);
	for (const [key, known] of shares.times) {
		if (key.startsWith(`${rank}/`) && known < time - shareStep) {
			shares.times.delete(key);
		}
	}
};

/** Gets how far each waiting customer of a rank is ahead of the one that had least, in steps. */
export const getLeads = (shares: Shares, rank: Rank, customers: ReadonlySet<CustomerId>): ReadonlyMap<CustomerId, number> => {
	const times = [...customers].map(customer => [customer, getVirtualTime(shares, rank, customer)] as const);
	const least = Math.min(...times.map(([, time]) => time));
	return new Map(times.map(([customer, time]) => [customer, (time - least) / shareStep]));
};
