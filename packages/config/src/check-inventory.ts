import type {Configuration, Engine} from '@gentianlift/types';
import {createDiagnostic, type Diagnostic, type Path} from './diagnostic.js';
import {findDuplicates, type Occurrence} from './duplicates.js';

const getNames = (items: Array<{name: string}>): Set<string> => new Set(items.map(({name}) => name));

const getNameOccurrences = (items: Array<{name: string}>, path: Path): Occurrence[] =>
	items.map(({name}, index) => ({path: [...path, index, 'name'], value: name}));

/** Returns a diagnostic for each listed name that isn't a known one; `expected` describes the known names. */
export const findUnknownNames = (names: string[], path: Path, knownNames: Set<string>, expected: string): Diagnostic[] =>
	names.flatMap((name, index) => knownNames.has(name) ? [] : [createDiagnostic([...path, index], name, expected)]);

const getInstanceAddresses = ({inventory}: Configuration): Array<{path: Path; id: string; address: string}> =>
	inventory.services.flatMap(({instances}, serviceIndex) => instances.map(({id, address}, index) => ({
		path: ['inventory', 'services', serviceIndex, 'instances', index], id, address,
	})));

const getUpstreamAddresses = (configuration: Configuration): Array<{path: Path; id: string; address: string}> => [
	...configuration.inventory.engines.map(({id, address}, index) => ({path: ['inventory', 'engines', index], id, address})),
	...getInstanceAddresses(configuration),
];

/** Checks that the names and addresses of all upstreams are unique. */
export const checkUniqueUpstreams = (configuration: Configuration): Diagnostic[] => {
	const upstreams = getUpstreamAddresses(configuration);
	const names = upstreams.map(({path, id}) => ({path: [...path, 'id'], value: id}));
	const addresses = upstreams.map(({path, address}) => ({path: [...path, 'address'], value: address.toLowerCase()}));
	return [
		...findDuplicates(names, 'a name that no other upstream has'),
		...findDuplicates(addresses, 'an address that no other upstream has'),
	];
};

/** Checks that names are unique among models and adapters together, and among services. */
export const checkUniqueNames = ({inventory}: Configuration): Diagnostic[] => [
	...findDuplicates([
		...getNameOccurrences(inventory.models, ['inventory', 'models']),
		...getNameOccurrences(inventory.adapters, ['inventory', 'adapters']),
	], 'a name that no other model or adapter has'),
	...findDuplicates(getNameOccurrences(inventory.services, ['inventory', 'services']), 'a name that no other service has'),
];

/** Checks that the base model of each adapter exists. */
export const checkAdapterModels = ({inventory}: Configuration): Diagnostic[] => {
	const models = getNames(inventory.models);
	return inventory.adapters.flatMap(({model}, index) => models.has(model)
		? []
		: [createDiagnostic(['inventory', 'adapters', index, 'model'], model, 'the name of a model')]);
};

/** Checks that the adapters of an engine exist and that the engine lists their base models. */
const checkEngineAdapters = ({inventory}: Configuration, engine: Engine, path: Path): Diagnostic[] => {
	const models = new Map(inventory.adapters.map(({name, model}) => [name, model]));
	return engine.adapters.flatMap((name, index) => {
		const model = models.get(name);
		const elementPath = [...path, 'adapters', index];
		if (model === undefined) {
			return [createDiagnostic(elementPath, name, 'the name of an adapter')];
		}

		return engine.models.includes(model) ? [] : [createDiagnostic(elementPath, name, `an adapter of a model of this engine, not of ${model}`)];
	});
};

/** Checks that each engine's models and adapters exist, and that the engine lists the base model of each of its adapters. */
export const checkEngineModels = (configuration: Configuration): Diagnostic[] => {
	const models = getNames(configuration.inventory.models);
	return configuration.inventory.engines.flatMap((engine, index) => {
		const path = ['inventory', 'engines', index];
		return [
			...findUnknownNames(engine.models, [...path, 'models'], models, 'the name of a model'),
			...checkEngineAdapters(configuration, engine, path),
		];
	});
};

/** Checks that the names and the key digests of all customers are unique. */
export const checkUniqueCustomers = ({inventory}: Configuration): Diagnostic[] => {
	const path = ['inventory', 'customers'];
	const names = inventory.customers.map(({id}, index) => ({path: [...path, index, 'id'], value: id}));
	const keys = inventory.customers.flatMap(({keyDigests}, index) =>
		keyDigests.map((value, keyIndex) => ({path: [...path, index, 'keyDigests', keyIndex], value})));
	return [
		...findDuplicates(names, 'a name that no other customer has'),
		...findDuplicates(keys, 'a digest that stands nowhere else'),
	];
};

/** Checks that each customer's classes exist and are listed only once. */
export const checkCustomerClasses = ({inventory, rules}: Configuration): Diagnostic[] => {
	const knownNames = getNames(rules.classes);
	return inventory.customers.flatMap(({classes}, index) => {
		const path = ['inventory', 'customers', index, 'classes'];
		const occurrences = classes.map((value, classIndex) => ({path: [...path, classIndex], value}));
		return [...findUnknownNames(classes, path, knownNames, 'the name of a class'), ...findDuplicates(occurrences, 'each class once')];
	});
};
