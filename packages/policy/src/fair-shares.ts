import type {CustomerId, Milliseconds, Rank} from '@gentianlift/types';

/** Lead in weighted service up to which a customer still counts as even with others. */
export const fairShareStep: Milliseconds = 500;

/** Weighted service that each customer has had within each rank, as virtual times of weighted fair queueing. */
export type FairShares = {
	/** Customers' virtual times by rank and customer. */
	readonly customerTimes: Map<string, number>;
	/** Virtual time of each rank: the highest of any customer at the time of its grant. */
	readonly rankTimes: Map<Rank, number>;
};

/** Creates virtual times without service. */
export const createFairShares = (): FairShares => ({customerTimes: new Map(), rankTimes: new Map()});

const getKey = (rank: Rank, customer: CustomerId): string => `${rank}/${customer}`;

/** Returns a customer's virtual time. An idle customer accumulates no credit: it falls at most one step behind the rank. */
export const getVirtualTime = (shares: FairShares, rank: Rank, customer: CustomerId): number =>
	Math.max(shares.customerTimes.get(getKey(rank, customer)) ?? 0, (shares.rankTimes.get(rank) ?? 0) - fairShareStep);

/** Charges a customer for service in slot-milliseconds; a negative amount corrects an earlier estimate. */
export const chargeService = (shares: FairShares, rank: Rank, charge: {customer: CustomerId; weight: number; service: Milliseconds}): void => {
	const time = getVirtualTime(shares, rank, charge.customer);
	shares.customerTimes.set(getKey(rank, charge.customer), time + (charge.service / Math.max(charge.weight, Number.EPSILON)));
};

/** Advances the rank's virtual time to that of a customer that is being served, and removes customers more than one step behind it. */
export const advanceVirtualTime = (shares: FairShares, rank: Rank, customer: CustomerId): void => {
	const time = Math.max(shares.rankTimes.get(rank) ?? 0, getVirtualTime(shares, rank, customer));
	shares.rankTimes.set(rank, time);
	for (const [key, customerTime] of shares.customerTimes) {
		if (key.startsWith(`${rank}/`) && customerTime < time - fairShareStep) {
			shares.customerTimes.delete(key);
		}
	}
};

/** Returns how far each waiting customer of a rank is ahead of the one with the least weighted service, in steps. */
export const getLeads = (shares: FairShares, rank: Rank, customers: ReadonlySet<CustomerId>): ReadonlyMap<CustomerId, number> => {
	const times = [...customers].map(customer => [customer, getVirtualTime(shares, rank, customer)] as const);
	const lowest = Math.min(...times.map(([, time]) => time));
	return new Map(times.map(([customer, time]) => [customer, (time - lowest) / fairShareStep]));
};
