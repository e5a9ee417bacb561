import type {Configuration, Inventory, Rules} from '@gentianlift/types';
import {
	checkAdapters, checkCustomerClasses, checkCustomers, checkEngines, checkNames, checkUpstreams,
} from './check-inventory.js';
import {
	checkClasses, checkHours, checkMatches, checkTargets,
} from './check-rules.js';
import {configurationSchema, sectionSchemas, type Section} from './configuration-schema.js';
import type {Diagnostic, Parsed} from './diagnostic.js';
import {readDocument} from './read-document.js';
import {checkFloors, checkTiers, getOrderedTiers} from './tiers.js';

/** A check and the sections that it reads; it runs once their shape is right. */
type Check = {sections: readonly Section[]; check: (configuration: Configuration) => Diagnostic[]};

const checks: readonly Check[] = [
	{sections: ['engines', 'services'], check: checkUpstreams},
	{sections: ['models', 'adapters', 'services'], check: checkNames},
	{sections: ['models', 'adapters'], check: checkAdapters},
	{sections: ['engines', 'models', 'adapters'], check: checkEngines},
	{sections: ['customers'], check: checkCustomers},
	{sections: ['customers', 'classes'], check: checkCustomerClasses},
	{sections: ['tiers'], check: checkTiers},
	{sections: ['tiers'], check: checkFloors},
	{sections: ['tiers', 'classes'], check: checkClasses},
	{sections: ['classes'], check: checkHours},
	{sections: ['classes'], check: checkTargets},
	{sections: ['engines', 'models', 'adapters', 'services', 'classes'], check: checkMatches},
];

const getObject = (value: unknown): Record<string, unknown> =>
	typeof value === 'object' && value !== null ? value as Record<string, unknown> : {};

const getSections = (document: unknown): Partial<Inventory & Rules> => {
	const {inventory, rules} = getObject(document);
	const fields = {...getObject(inventory), ...getObject(rules)};
	const sections = Object.entries(sectionSchemas).flatMap(([name, schema]) => {
		const result = schema.safeParse(fields[name]);
		return result.success ? [[name, result.data] as const] : [];
	});
	return Object.fromEntries(sections);
};

const checkSections = (found: Partial<Inventory & Rules>): Diagnostic[] => {
	const {engines = [], models = [], adapters = [], services = [], customers = [], tiers = [], classes = []} = found;
	const configuration = {
		inventory: {
			engines, models, adapters, services, customers,
		},
		rules: {tiers, classes},
	};
	return checks
		.filter(({sections}) => sections.every(section => found[section] !== undefined))
		.flatMap(({check}) => check(configuration));
};

const getOrderedConfiguration = (configuration: Configuration): Configuration => ({
	...configuration,
	rules: {...configuration.rules, tiers: getOrderedTiers(configuration.rules.tiers)},
});

/** Parses the operators' configuration, fills in defaults and orders its tiers, the highest first. */
export const parseConfiguration = (document: unknown): Parsed<Configuration> => {
	const {value, faults} = readDocument(configurationSchema, document);
	const sections = value === undefined ? getSections(document) : {...value.inventory, ...value.rules};
	const found = [...faults, ...checkSections(sections)];
	return value === undefined || found.length > 0
		? {kind: 'invalid', faults: found}
		: {kind: 'valid', value: getOrderedConfiguration(value)};
};
