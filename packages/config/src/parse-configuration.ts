import type {Configuration} from '@gentianlift/types';
import {
	checkAdapters, checkCustomerClasses, checkCustomers, checkEngines, checkNames, checkUpstreams,
} from './check-inventory.js';
import {
	checkClasses, checkHours, checkMatches, checkTargets,
} from './check-rules.js';
import {configurationSchema} from './configuration-schema.js';
import type {Diagnostic, Parsed} from './diagnostic.js';
import {readDocument} from './read-document.js';
import {checkFloors, checkTiers, getOrderedTiers} from './tiers.js';

type Check = (configuration: Configuration) => Diagnostic[];

const checks: readonly Check[] = [
	checkUpstreams,
	checkNames,
	checkAdapters,
	checkEngines,
	checkCustomers,
	checkCustomerClasses,
	checkTiers,
	checkFloors,
	checkClasses,
	checkHours,
	checkTargets,
	checkMatches,
];

const getOrderedConfiguration = (configuration: Configuration): Configuration => ({
	...configuration,
	rules: {...configuration.rules, tiers: getOrderedTiers(configuration.rules.tiers)},
});

/** Parses the operators' configuration, fills in defaults and orders its tiers, the highest first. */
export const parseConfiguration = (document: unknown): Parsed<Configuration> => {
	const {value, faults} = readDocument(configurationSchema, document);
	if (value === undefined) {
		return {kind: 'invalid', faults};
	}

	const found = checks.flatMap(check => check(value));
	return found.length === 0 ? {kind: 'valid', value: getOrderedConfiguration(value)} : {kind: 'invalid', faults: found};
};
