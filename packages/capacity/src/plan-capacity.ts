import type {CapacityKind} from '@gentianlift/duties';
import type {Scaling} from '@gentianlift/routing';
import type {Zone} from '@gentianlift/types';
import {
	countAll, countSurvivors, getPrice, sumKinds, type KindCounts, type ZoneCapacity,
} from './zone-capacity.js';

/** An availability zone for which capacity is planned. */
export type PlannedZone = {
	zone: Zone;
	/** Part of the service's demand that callers in the zone bring, from 0 to 1. */
	share: number;
	/** Most upstreams of each kind that can be had there at the moment. */
	available: Readonly<KindCounts>;
};

/** What capacity is planned for. */
export type PlanInput = {
	/** Upstreams that have to be left when one zone loses its reclaimable ones, as far as reclaimable ones can be had. */
	required: number;
	/** Those of them for which regular ones are ordered where there are no others. */
	requiredNow: number;
	/** Whether a zone has just lost its reclaimable upstreams, so that what is left without them is enough. */
	isRecovering: boolean;
	zones: readonly PlannedZone[];
	scaling: Scaling;
};

/** A zone with what is planned for it so far. */
type Draft = PlannedZone & {price: number; counts: KindCounts};

/** Returns the first of the drafts in an order; undefined without drafts. */
const findFirst = (drafts: readonly Draft[], compare: (one: Draft, other: Draft) => number): Draft | undefined =>
	drafts.toSorted((one, other) => compare(one, other) || one.price - other.price || (one.zone < other.zone ? -1 : 1))[0];

const byPrice = (): number => 0;

/** Whether reclaimable upstreams cost less than regular ones, with the reserve for the loss of one of the zones that have them. */
export const areReclaimableCheaper = (zones: number, {reclaimablePrice}: Scaling): boolean =>
	zones > 1 && (reclaimablePrice * zones) / (zones - 1) < 1;

/** Returns how many upstreams of a capacity may be counted on. */
export const countReliable = (capacity: ZoneCapacity, {isRecovering}: Pick<PlanInput, 'isRecovering'>): number =>
	isRecovering ? countAll(capacity) : countSurvivors(capacity);

/**
 * Plans the numbers of upstreams at the least price: where callers are, in the cheapest zones beyond that, and so that the
 * rest is enough when any one zone loses its reclaimable upstreams. Where less can be had, the plan has all there is.
 */
export const planCapacity = ({
	required, requiredNow, isRecovering, zones, scaling,
}: PlanInput): ZoneCapacity => {
	const drafts = zones.map((zone): Draft => ({
		...zone, price: getPrice(scaling, zone.zone, 'regular'), counts: {regular: 0, reclaimable: 0},
	}));
	const usesReclaimable = areReclaimableCheaper(drafts.filter(({available}) => available.reclaimable > 0).length, scaling);
	const capacity: ZoneCapacity = new Map(drafts.map(({zone, counts}) => [zone, counts]));

	const findRoom = (kind: CapacityKind): Draft[] => kind === 'reclaimable' && !usesReclaimable
		? []
		: drafts.filter(({counts, available}) => sumKinds(counts) < scaling.max && counts[kind] < available[kind]);

	/** Adds an upstream to a zone; returns whether there is one. */
	const place = (draft: Draft | undefined, kind: CapacityKind): boolean => {
		if (draft !== undefined) {
			draft.counts[kind] += 1;
		}

		return draft !== undefined;
	};

	/** Orders zones by how many of the required upstreams they still lack for their callers. */
	const byLack = (one: Draft, other: Draft): number =>
		((other.share * required) - sumKinds(other.counts)) - ((one.share * required) - sumKinds(one.counts));

	/** Returns where another reclaimable upstream adds to the reserve: where its loss isn't the largest one, or else everywhere in turn. */
	const findReserve = (): Draft | undefined => {
		const peak = Math.max(...drafts.map(({counts}) => counts.reclaimable));
		const room = findRoom('reclaimable');
		const below = findFirst(room.filter(({counts}) => counts.reclaimable < peak), byPrice);
		// Raising the peak in one zone alone leaves no more after a loss.
		return below ?? (room.length > 1 ? findFirst(room, byPrice) : undefined);
	};

	for (const draft of drafts) {
		while (sumKinds(draft.counts) < scaling.min) {
			place(draft, usesReclaimable && draft.counts.reclaimable < draft.available.reclaimable ? 'reclaimable' : 'regular');
		}
	}

	let hasRoom = true;
	while (hasRoom && countAll(capacity) < required) {
		hasRoom = place(findFirst(findRoom('reclaimable'), byLack), 'reclaimable');
	}

	hasRoom = true;
	while (hasRoom && countSurvivors(capacity) < required) {
		hasRoom = place(findReserve(), 'reclaimable');
	}

	hasRoom = true;
	while (hasRoom && countReliable(capacity, {isRecovering}) < requiredNow) {
		hasRoom = place(findFirst(findRoom('regular'), byLack), 'regular');
	}

	return capacity;
};
