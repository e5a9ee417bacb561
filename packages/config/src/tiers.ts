import type {Configuration, Tier, TierName} from '@gentianlift/types';
import {findUnknownNames} from './check-inventory.js';
import {createDiagnostic, type Diagnostic} from './diagnostic.js';
import {findDuplicates} from './duplicates.js';

/** Returns the names of all tiers that a tier outranks, directly or transitively. */
const getOutrankedNames = (tiers: Tier[], name: TierName): Set<TierName> => {
	const outranked = new Set<TierName>();
	const pending = [name];
	for (let next = pending.pop(); next !== undefined; next = pending.pop()) {
		for (const lower of tiers.find(tier => tier.name === next)?.outranks ?? []) {
			if (!outranked.has(lower)) {
				outranked.add(lower);
				pending.push(lower);
			}
		}
	}

	return outranked;
};

const checkCycles = (tiers: Tier[]): Diagnostic[] => tiers.flatMap(({name, outranks}, index) =>
	getOutrankedNames(tiers, name).has(name)
		? [createDiagnostic(['rules', 'tiers', index, 'outranks'], outranks, `tiers that don't outrank ${name} in turn`)]
		: []);

/** Checks that of any two tiers one outranks the other. */
const checkTotalOrder = (tiers: Tier[]): Diagnostic[] => tiers.flatMap(({name}, index) => tiers.slice(index + 1).flatMap(other => {
	const isOrdered = getOutrankedNames(tiers, name).has(other.name) || getOutrankedNames(tiers, other.name).has(name);
	const expected = `an order between ${name} and ${other.name}: one must outrank the other`;
	return isOrdered || name === other.name ? [] : [createDiagnostic(['rules', 'tiers', index, 'outranks'], tiers[index]?.outranks, expected)];
}));

/** Checks that the names of tiers are unique and that `outranks` defines a total order of the tiers. */
export const checkTiers = ({rules: {tiers}}: Configuration): Diagnostic[] => {
	const knownNames = new Set(tiers.map(({name}) => name));
	const diagnostics = [
		...findDuplicates(tiers.map(({name}, index) => ({path: ['rules', 'tiers', index, 'name'], value: name})), 'a name that no other tier has'),
		...tiers.flatMap(({outranks}, index) => findUnknownNames(outranks, ['rules', 'tiers', index, 'outranks'], knownNames, 'the name of a tier')),
		...checkCycles(tiers),
	];
	return diagnostics.length === 0 ? checkTotalOrder(tiers) : diagnostics;
};

/** Steps per unit to which a sum of floors is rounded, so that ten floors of 0.1 sum to 1 despite floating-point errors. */
const floorRoundingSteps = 1e9;

/** Checks that the floors (guaranteed minimum shares) of all tiers sum to less than the whole capacity. */
export const checkFloors = ({rules: {tiers}}: Configuration): Diagnostic[] => {
	const sum = tiers.reduce((total, {floor}) => total + floor, 0);
	const total = Math.round(sum * floorRoundingSteps) / floorRoundingSteps;
	return total < 1 ? [] : [createDiagnostic(['rules', 'tiers'], `floors that sum to ${total}`, 'floors that sum to less than 1')];
};

/** Sorts the tiers from the highest to the lowest. */
export const sortTiers = (tiers: Tier[]): Tier[] =>
	tiers.toSorted((a, b) => getOutrankedNames(tiers, b.name).size - getOutrankedNames(tiers, a.name).size);
