import type {Configuration, Engine} from '@gentianlift/types';
import {createDiagnostic, type Diagnostic, type Path} from './diagnostic.js';
import {getRepeats, type Place} from './repeats.js';

const getNames = (items: Array<{name: string}>): Set<string> => new Set(items.map(({name}) => name));

const getNamePlaces = (items: Array<{name: string}>, path: Path): Place[] =>
	items.map(({name}, index) => ({path: [...path, index, 'name'], value: name}));

/** Gets a fault for each listed name that is not among the known ones. */
export const getUnknown = (names: string[], path: Path, known: Set<string>, expected: string): Diagnostic[] =>
	names.flatMap((name, index) => known.has(name) ? [] : [createDiagnostic([...path, index], name, expected)]);

const getInstances = ({inventory}: Configuration): Array<{path: Path; id: string; address: string}> =>
	inventory.services.flatMap(({instances}, service) => instances.map(({id, address}, index) => ({
		path: ['inventory', 'services', service, 'instances', index], id, address,
	})));

const getUpstreams = (configuration: Configuration): Array<{path: Path; id: string; address: string}> => [
	...configuration.inventory.engines.map(({id, address}, index) => ({path: ['inventory', 'engines', index], id, address})),
	...getInstances(configuration),
];

/** Checks that upstreams have names and addresses of their own. */
export const checkUpstreams = (configuration: Configuration): Diagnostic[] => {
	const upstreams = getUpstreams(configuration);
	const names = upstreams.map(({path, id}) => ({path: [...path, 'id'], value: id}));
	const addresses = upstreams.map(({path, address}) => ({path: [...path, 'address'], value: address.toLowerCase()}));
	return [
		...getRepeats(names, 'a name that no other upstream has'),
		...getRepeats(addresses, 'an address that no other upstream has'),
	];
};

/** Checks that models, adapters and services have names of their own. */
export const checkNames = ({inventory}: Configuration): Diagnostic[] => [
	...getRepeats([
		...getNamePlaces(inventory.models, ['inventory', 'models']),
		...getNamePlaces(inventory.adapters, ['inventory', 'adapters']),
	], 'a name that no other model or adapter has'),
	...getRepeats(getNamePlaces(inventory.services, ['inventory', 'services']), 'a name that no other service has'),
];

/** Checks that each adapter's model exists. */
export const checkAdapters = ({inventory}: Configuration): Diagnostic[] => {
	const models = getNames(inventory.models);
	return inventory.adapters.flatMap(({model}, index) => models.has(model)
		? []
		: [createDiagnostic(['inventory', 'adapters', index, 'model'], model, 'the name of a model')]);
};

const checkEngineAdapters = ({inventory}: Configuration, engine: Engine, path: Path): Diagnostic[] => {
	const models = new Map(inventory.adapters.map(({name, model}) => [name, model]));
	return engine.adapters.flatMap((name, index) => {
		const model = models.get(name);
		const place = [...path, 'adapters', index];
		if (model === undefined) {
			return [createDiagnostic(place, name, 'the name of an adapter')];
		}

		return engine.models.includes(model) ? [] : [createDiagnostic(place, name, `an adapter of a model of this engine, not of ${model}`)];
	});
};

/** Checks that each engine's models and adapters exist and go together. */
export const checkEngines = (configuration: Configuration): Diagnostic[] => {
	const models = getNames(configuration.inventory.models);
	return configuration.inventory.engines.flatMap((engine, index) => {
		const path = ['inventory', 'engines', index];
		return [
			...getUnknown(engine.models, [...path, 'models'], models, 'the name of a model'),
			...checkEngineAdapters(configuration, engine, path),
		];
	});
};

/** Checks that customers have names and keys of their own. */
export const checkCustomers = ({inventory}: Configuration): Diagnostic[] => {
	const path = ['inventory', 'customers'];
	const names = inventory.customers.map(({id}, index) => ({path: [...path, index, 'id'], value: id}));
	const keys = inventory.customers.flatMap(({keyDigests}, index) =>
		keyDigests.map((value, key) => ({path: [...path, index, 'keyDigests', key], value})));
	return [
		...getRepeats(names, 'a name that no other customer has'),
		...getRepeats(keys, 'a digest that stands nowhere else'),
	];
};

/** Checks that each customer's classes exist and are listed once. */
export const checkCustomerClasses = ({inventory, rules}: Configuration): Diagnostic[] => {
	const known = getNames(rules.classes);
	return inventory.customers.flatMap(({classes}, index) => {
		const path = ['inventory', 'customers', index, 'classes'];
		const places = classes.map((value, place) => ({path: [...path, place], value}));
		return [...getUnknown(classes, path, known, 'the name of a class'), ...getRepeats(places, 'each class once')];
	});
};
