import type {CapacityKind} from '@gentianlift/duties';
import type {Scaling} from '@gentianlift/routing';
import type {Zone} from '@gentianlift/types';

/** Kinds of upstreams that can be ordered. */
export const capacityKinds = ['regular', 'reclaimable'] as const satisfies readonly CapacityKind[];

/** Numbers of upstreams by kind. */
export type KindCounts = Record<CapacityKind, number>;

/** Upstreams of a service by availability zone and kind. */
export type ZoneCapacity = ReadonlyMap<Zone, Readonly<KindCounts>>;

/** Returns the number of upstreams of all kinds. */
export const sumKinds = ({regular, reclaimable}: Readonly<KindCounts>): number => regular + reclaimable;

/** Returns the number of upstreams of all zones and kinds. */
export const countAll = (capacity: ZoneCapacity): number => {
	let total = 0;
	for (const counts of capacity.values()) {
		total += sumKinds(counts);
	}

	return total;
};

/** Returns the number of upstreams that are left when the zone with most reclaimable ones loses them all at once. */
export const countSurvivors = (capacity: ZoneCapacity): number => {
	let mostReclaimable = 0;
	for (const {reclaimable} of capacity.values()) {
		mostReclaimable = Math.max(mostReclaimable, reclaimable);
	}

	return countAll(capacity) - mostReclaimable;
};

/** Price of an upstream in a zone without a configured one. */
const defaultZonePrice = 1;

/** Returns the price of an upstream for a unit of time. */
export const getPrice = ({zonePrices, reclaimablePrice}: Scaling, zone: Zone, kind: CapacityKind): number =>
	(zonePrices[zone] ?? defaultZonePrice) * (kind === 'reclaimable' ? reclaimablePrice : 1);
