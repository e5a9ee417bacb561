import type {CapacityKind} from '@gentianlift/duties';
import type {Scaling} from '@gentianlift/routing';
import type {Zone} from '@gentianlift/types';
import type {Need} from './need-history.js';
import {
	areReclaimableCheaper, countReliable, planCapacity, type PlannedZone,
} from './plan-capacity.js';
import {getReductions} from './reduce-capacity.js';
import {
	capacityKinds, countAll, countSurvivors, sumKinds, type KindCounts, type ZoneCapacity,
} from './zone-capacity.js';

/** A zone of a service as the decision sees it. */
export type ObservedZone = {
	zone: Zone;
	/** Upstreams that count as ordered. */
	ordered: Readonly<KindCounts>;
	/** Upstreams that may be ordered, as the outcome of an order may be unknown. */
	atMost: Readonly<KindCounts>;
	/** Upstreams that serve and don't leave. */
	serving: Readonly<KindCounts>;
	/** Most upstreams of each kind that can be had at the moment; infinite unless orders have failed. */
	available: Readonly<KindCounts>;
	/** Whether enough time has passed since the last change to order fewer. */
	mayGiveBack: Readonly<Record<CapacityKind, boolean>>;
};

/** What is decided on. */
export type CapacityInput = {
	scaling: Scaling;
	need: Need;
	/** Whether a zone has just lost its reclaimable upstreams. */
	isRecovering: boolean;
	/** Upstreams that the service began with; undefined if some were ordered before this host watched. */
	initial: number | undefined;
	zones: readonly ObservedZone[];
	/** Whether the load of nearly all hosts is known. */
	isFresh: boolean;
	/** Whether the service has requests in flight. */
	isIdle: boolean;
};

/** Number to order of a kind in a zone. */
export type CapacityChange = {zone: Zone; kind: CapacityKind; before: number; count: number};

/** What to order, with what led to it. */
export type CapacityDecision = {
	changes: CapacityChange[];
	/** Upstreams that have to be left when one zone loses its reclaimable ones. */
	required: number;
	/** Those of them for which regular ones are ordered, too. */
	requiredNow: number;
	/** Those that are left of what is ordered. */
	survivors: number;
	plan: ZoneCapacity;
};

/** Part of an upstream for which none is ordered. */
const negligiblePart = 0.1;
/** Difference to the plan from which a zone gets more though enough is ordered in all: this part of what it has, at least two. */
const unevenPart = 1 / 4;
const minUneven = 2;

/** Returns the part of the demand that is expected of a zone; while that isn't known, the part of the capacity that it has. */
const getShare = ({zone, ordered}: ObservedZone, {isKnown, shares}: Need, totalOrdered: number): number =>
	isKnown && shares.size > 0 ? shares.get(zone) ?? 0 : sumKinds(ordered) / Math.max(1, totalOrdered);

/** Returns a number of upstreams that is needed; at least as many as the service began with until the need is known. */
const countNeeded = (needed: number, {need, initial}: CapacityInput): number => Math.max(0, Math.ceil(needed - negligiblePart), need.isKnown ? 0 : initial ?? 0);

/** Upstreams for which regular ones are ordered, and for which they are kept. */
type RegularNeed = {ordered: number; kept: number};

/** Returns the need for which there are regular upstreams: a wave that is over isn't worth them where reclaimable ones cost less. */
const getRegularNeed = (input: CapacityInput): RegularNeed => {
	const {need, zones, scaling} = input;
	const isDear = areReclaimableCheaper(zones.length, scaling);
	return {ordered: countNeeded(isDear ? need.latest : need.upstreams, input), kept: countNeeded(isDear ? need.recent : need.upstreams, input)};
};

const getCounts = (plan: ZoneCapacity, zone: Zone): Readonly<KindCounts> => plan.get(zone) ?? {regular: 0, reclaimable: 0};

/** Whether too few are ordered, by kind. */
type Shortage = Readonly<Record<CapacityKind, boolean>>;

/** Whether more of a kind is ordered in a zone than now, where the plan has more. */
const isRaiseDue = ({ordered}: ObservedZone, kind: CapacityKind, planned: number, {isShort, replacesRegular, min}: {isShort: Shortage; replacesRegular: boolean; min: number}): boolean => {
	const isBelowMin = sumKinds(ordered) < min;
	const lack = planned - ordered[kind];
	const isUneven = lack >= Math.max(minUneven, sumKinds(ordered) * unevenPart);
	return lack > 0 && (isShort[kind] || isBelowMin || (kind === 'reclaimable' && (isUneven || replacesRegular)));
};

/** Returns the orders of more upstreams, within the bounds of the zone together with what it has of the other kind. */
const getRaises = ({zones, scaling}: CapacityInput, plan: ZoneCapacity, isShort: Shortage): CapacityChange[] => {
	const replacesRegular = zones.some(({zone, ordered}) => ordered.regular > getCounts(plan, zone).regular);
	return zones.flatMap(observed => {
		const {zone, ordered, atMost} = observed;
		const planned = getCounts(plan, zone);
		let room = scaling.max - sumKinds(atMost);
		return capacityKinds.flatMap((kind): CapacityChange[] => {
			const before = ordered[kind];
			const count = Math.min(planned[kind], atMost[kind] + room);
			if (count <= before || !isRaiseDue(observed, kind, planned[kind], {isShort, replacesRegular, min: scaling.min})) {
				return [];
			}

			room -= Math.max(0, count - atMost[kind]);
			return [{
				zone, kind, before, count,
			}];
		});
	});
};

/**
 * Decides what to order of a service. More is ordered at once where what is ordered doesn't meet the need, and to replace
 * dearer upstreams; less in steps, by what serves beyond the need, if the demand is known and the load reports are fresh.
 */
export const decideCapacity = (input: CapacityInput): CapacityDecision => {
	const {need, zones, scaling, isFresh, isRecovering} = input;
	const ordered: ZoneCapacity = new Map(zones.map(observed => [observed.zone, observed.ordered]));
	const survivors = countSurvivors(ordered);
	const required = countNeeded(need.upstreams, input);
	const {ordered: requiredNow, kept} = getRegularNeed(input);
	const planned = zones.map((observed): PlannedZone => ({
		zone: observed.zone, share: getShare(observed, need, countAll(ordered)), available: observed.available,
	}));
	const plan = planCapacity({
		required, requiredNow, isRecovering, zones: planned, scaling,
	});
	const isShort: Shortage = {reclaimable: survivors < required, regular: countReliable(ordered, input) < requiredNow};
	// Without knowing what is needed, what others have ordered is left alone.
	const mayReplace = need.isKnown || input.initial !== undefined;
	const raises = mayReplace || isShort.reclaimable ? getRaises(input, plan, isShort) : [];
	const reductions = mayReplace && isFresh ? getReductions(input, {plan, required, requiredNow: kept}) : [];
	return {
		changes: [...raises, ...reductions], required, requiredNow, survivors, plan,
	};
};
