import type {Configuration, Inventory, Rules} from '@gentianlift/types';
import {
	checkAdapterModels, checkCustomerClasses, checkEngineModels, checkUniqueCustomers, checkUniqueNames, checkUniqueUpstreams,
} from './check-inventory.js';
import {
	checkClasses, checkHours, checkMatches, checkTargets,
} from './check-rules.js';
import {configurationSchema, sectionSchemas, type Section} from './configuration-schema.js';
import type {Diagnostic, ParseResult} from './diagnostic.js';
import {readDocument} from './read-document.js';
import {checkFloors, checkTiers, sortTiers} from './tiers.js';

/** A check and the sections that it reads. It runs only if the schemas of these sections accept them. */
type SectionCheck = {sections: readonly Section[]; check: (configuration: Configuration) => Diagnostic[]};

const checks: readonly SectionCheck[] = [
	{sections: ['engines', 'services'], check: checkUniqueUpstreams},
	{sections: ['models', 'adapters', 'services'], check: checkUniqueNames},
	{sections: ['models', 'adapters'], check: checkAdapterModels},
	{sections: ['engines', 'models', 'adapters'], check: checkEngineModels},
	{sections: ['customers'], check: checkUniqueCustomers},
	{sections: ['customers', 'classes'], check: checkCustomerClasses},
	{sections: ['tiers'], check: checkTiers},
	{sections: ['tiers'], check: checkFloors},
	{sections: ['tiers', 'classes'], check: checkClasses},
	{sections: ['classes'], check: checkHours},
	{sections: ['classes'], check: checkTargets},
	{sections: ['engines', 'models', 'adapters', 'services', 'classes'], check: checkMatches},
];

const asObject = (value: unknown): Record<string, unknown> =>
	typeof value === 'object' && value !== null ? value as Record<string, unknown> : {};

/** Parses each section separately; sections that their schema rejects are left out. */
const parseSections = (document: unknown): Partial<Inventory & Rules> => {
	const {inventory, rules} = asObject(document);
	const fields = {...asObject(inventory), ...asObject(rules)};
	const sections = Object.entries(sectionSchemas).flatMap(([name, schema]) => {
		const result = schema.safeParse(fields[name]);
		return result.success ? [[name, result.data] as const] : [];
	});
	return Object.fromEntries(sections);
};

const checkSections = (parsedSections: Partial<Inventory & Rules>): Diagnostic[] => {
	const {engines = [], models = [], adapters = [], services = [], customers = [], tiers = [], classes = []} = parsedSections;
	const configuration = {
		inventory: {
			engines, models, adapters, services, customers,
		},
		rules: {tiers, classes},
	};
	return checks
		.filter(({sections}) => sections.every(section => parsedSections[section] !== undefined))
		.flatMap(({check}) => check(configuration));
};

const sortConfigurationTiers = (configuration: Configuration): Configuration => ({
	...configuration,
	rules: {...configuration.rules, tiers: sortTiers(configuration.rules.tiers)},
});

/** Parses the operators' configuration, fills in defaults and sorts its tiers, the highest first. */
export const parseConfiguration = (document: unknown): ParseResult<Configuration> => {
	const {value, faults} = readDocument(configurationSchema, document);
	const sections = value === undefined ? parseSections(document) : {...value.inventory, ...value.rules};
	const diagnostics = [...faults, ...checkSections(sections)];
	return value === undefined || diagnostics.length > 0
		? {kind: 'invalid', faults: diagnostics}
		: {kind: 'valid', value: sortConfigurationTiers(value)};
};
