import type {CapacityKind} from '@gentianlift/duties';
import type {Zone} from '@gentianlift/types';
import type {
	CapacityChange, CapacityDecision, CapacityInput, ObservedZone,
} from './decide-capacity.js';
import {countReliable} from './plan-capacity.js';
import {
	countSurvivors, getPrice, sumKinds, type KindCounts, type ZoneCapacity,
} from './zone-capacity.js';

/** What reductions go by. */
type Target = Pick<CapacityDecision, 'plan' | 'required' | 'requiredNow'>;

/** What a zone has beyond the plan of a kind. */
type Excess = {observed: ObservedZone; kind: CapacityKind; planned: number};

/** Part of a zone's upstreams of a kind that is given back at once, so that few drain at a time. */
const giveBackPart = 1 / 4;
/** Upstreams beyond the need from which reclaimable ones are given back: this part of the need, at least two, as each that is ordered again costs a start. */
const surplusPart = 1 / 5;
const minSurplus = 2;

/** Returns what serves and stays: an upstream that was given back may still be listed. */
const getRemaining = (zones: readonly ObservedZone[]): Map<Zone, KindCounts> => new Map(zones.map(({zone, ordered, serving}) => [zone, {
	regular: Math.min(ordered.regular, serving.regular),
	reclaimable: Math.min(ordered.reclaimable, serving.reclaimable),
}]));

/** Returns what may be given back, the dearest first. */
const getExcess = ({zones, scaling}: CapacityInput, plan: ZoneCapacity): Excess[] => zones
	.flatMap(observed => [
		{observed, kind: 'regular' as const, planned: plan.get(observed.zone)?.regular ?? 0},
		{observed, kind: 'reclaimable' as const, planned: plan.get(observed.zone)?.reclaimable ?? 0},
	])
	.filter(({observed: {ordered, mayGiveBack}, kind, planned}) => ordered[kind] > planned && mayGiveBack[kind])
	.toSorted((one, other) => getPrice(scaling, other.observed.zone, other.kind) - getPrice(scaling, one.observed.zone, one.kind));

/** Whether what is left is enough without some upstreams of a kind. */
const isEnough = (capacity: ZoneCapacity, kind: CapacityKind, {required, requiredNow}: Target, input: CapacityInput): boolean =>
	kind === 'reclaimable' ? countSurvivors(capacity) >= required : countReliable(capacity, input) >= requiredNow;

/** Returns the orders of fewer upstreams: what serves and stays goes on to meet what is required. */
export const getReductions = (input: CapacityInput, target: Target): CapacityChange[] => {
	const remaining = getRemaining(input.zones);
	const surplus = countSurvivors(remaining) - target.required;
	const hasSurplus = surplus >= Math.max(minSurplus, target.required * surplusPart);
	const changes: CapacityChange[] = [];
	for (const {observed: {zone, ordered}, kind, planned} of getExcess(input, target.plan)) {
		const before = ordered[kind];
		const step = input.isIdle ? before : Math.ceil(before * giveBackPart);
		const isWorthwhile = kind === 'regular' || hasSurplus;
		const least = isWorthwhile ? Math.max(planned, before - step, input.scaling.min - (sumKinds(ordered) - before)) : before;
		const counts = remaining.get(zone) ?? {...ordered};
		const reduce = (count: number): KindCounts => ({...counts, [kind]: Math.min(counts[kind], count)});
		let count = before;
		while (count > least && isEnough(new Map([...remaining, [zone, reduce(count - 1)]]), kind, target, input)) {
			count -= 1;
		}

		remaining.set(zone, reduce(count));
		if (count < before) {
			changes.push({
				zone, kind, before, count,
			});
		}
	}

	return changes;
};
