import type {Milliseconds, Zone} from '@gentianlift/types';

/** Bounds and prices within which upstreams of a service are ordered. */
export type Scaling = {
	/** Fewest and most upstreams of all kinds together in one availability zone. */
	min: number;
	max: number;
	/** Time from an order until a new upstream serves. */
	startTime: Milliseconds;
	/** Price of a reclaimable upstream as a fraction of that of a regular one. */
	reclaimablePrice: number;
	/** Price of an upstream for a unit of time, by availability zone. */
	zonePrices: Readonly<Record<Zone, number>>;
};
