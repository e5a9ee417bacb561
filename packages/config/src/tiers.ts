import type {Configuration, Tier, TierName} from '@gentianlift/types';
import {createDiagnostic, type Diagnostic} from './diagnostic.js';
import {getUnknown} from './check-inventory.js';
import {getRepeats} from './repeats.js';

/** Gets the names of all tiers that a tier outranks, directly or through others. */
const getOutranked = (tiers: Tier[], name: TierName): Set<TierName> => {
	const outranked = new Set<TierName>();
	const open = [name];
	for (let next = open.pop(); next !== undefined; next = open.pop()) {
		for (const lower of tiers.find(tier => tier.name === next)?.outranks ?? []) {
			if (!outranked.has(lower)) {
				outranked.add(lower);
				open.push(lower);
			}
		}
	}

	return outranked;
};

const checkCycles = (tiers: Tier[]): Diagnostic[] => tiers.flatMap(({name, outranks}, index) =>
	getOutranked(tiers, name).has(name)
		? [createDiagnostic(['rules', 'tiers', index, 'outranks'], outranks, `tiers that don't outrank ${name} in turn`)]
		: []);

const checkPairs = (tiers: Tier[]): Diagnostic[] => tiers.flatMap(({name}, index) => tiers.slice(index + 1).flatMap(other => {
	const isOrdered = getOutranked(tiers, name).has(other.name) || getOutranked(tiers, other.name).has(name);
	const expected = `an order between ${name} and ${other.name}: one must outrank the other`;
	return isOrdered || name === other.name ? [] : [createDiagnostic(['rules', 'tiers', index, 'outranks'], tiers[index]?.outranks, expected)];
}));

/** Checks that the tiers have names of their own and stand in one order. */
export const checkTiers = ({rules: {tiers}}: Configuration): Diagnostic[] => {
	const known = new Set(tiers.map(({name}) => name));
	const faults = [
		...getRepeats(tiers.map(({name}, index) => ({path: ['rules', 'tiers', index, 'name'], value: name})), 'a name that no other tier has'),
		...tiers.flatMap(({outranks}, index) => getUnknown(outranks, ['rules', 'tiers', index, 'outranks'], known, 'the name of a tier')),
		...checkCycles(tiers),
	];
	return faults.length === 0 ? checkPairs(tiers) : faults;
};

/** Steps to which a sum of floors is rounded, so that ten floors of 0.1 sum to 1. */
const floorPrecision = 1e9;

/** Checks that the floors of all tiers leave a part of the service free. */
export const checkFloors = ({rules: {tiers}}: Configuration): Diagnostic[] => {
	const sum = tiers.reduce((total, {floor}) => total + floor, 0);
	const total = Math.round(sum * floorPrecision) / floorPrecision;
	return total < 1 ? [] : [createDiagnostic(['rules', 'tiers'], `floors that sum to ${total}`, 'floors that sum to less than 1')];
};

/** Gets the tiers from the highest to the lowest. */
export const getOrderedTiers = (tiers: Tier[]): Tier[] =>
	tiers.toSorted((a, b) => getOutranked(tiers, b.name).size - getOutranked(tiers, a.name).size);
