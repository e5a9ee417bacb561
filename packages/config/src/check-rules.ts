import type {Configuration, RequestClass} from '@gentianlift/types';
import {findUnknownNames} from './check-inventory.js';
import {createDiagnostic, type Diagnostic, type Path} from './diagnostic.js';
import {findDuplicates} from './duplicates.js';

const getNames = (items: Array<{name: string}>): Set<string> => new Set(items.map(({name}) => name));

/** Checks that the names of classes are unique and that each class's tier exists. */
export const checkClasses = ({rules}: Configuration): Diagnostic[] => {
	const tiers = getNames(rules.tiers);
	const occurrences = rules.classes.map(({name}, index) => ({path: ['rules', 'classes', index, 'name'], value: name}));
	const unknownTiers = rules.classes.flatMap(({tier}, index) => tiers.has(tier)
		? []
		: [createDiagnostic(['rules', 'classes', index, 'tier'], tier, 'the name of a tier')]);
	return [...findDuplicates(occurrences, 'a name that no other class has'), ...unknownTiers];
};

const minutesPerHour = 60;
const minutesPerDay = 24 * minutesPerHour;

/** Returns the minutes since midnight of a time of day such as 08:30. */
const parseMinutes = (time: string): number => {
	const [hours = 0, minutes = 0] = time.split(':').map(Number);
	return (hours * minutesPerHour) + minutes;
};

const formatMinutes = (minutes: number): string => {
	const hours = Math.floor(minutes / minutesPerHour);
	return `${String(hours).padStart(2, '0')}:${String(minutes % minutesPerHour).padStart(2, '0')}`;
};

const checkClassHours = ({hours}: RequestClass, path: Path): Diagnostic[] => {
	const diagnostics: Diagnostic[] = [];
	const intervals = hours.map(({from, to}, index) => ({from: parseMinutes(from), to: parseMinutes(to), index}));
	let coveredUntil = 0;
	for (const {from, to, index} of intervals.toSorted((a, b) => a.from - b.from)) {
		const {from: start, to: end} = hours[index] ?? {};
		const found = `${start} to ${end}`;
		if (to <= from) {
			diagnostics.push(createDiagnostic([...path, index], found, 'an end after the start; split hours that pass midnight in two'));
			continue;
		}

		if (from < coveredUntil) {
			diagnostics.push(createDiagnostic([...path, index], found, `hours that don't overlap; those before it last until ${formatMinutes(coveredUntil)}`));
		}

		if (from > coveredUntil) {
			diagnostics.push(createDiagnostic(path, `no hours from ${formatMinutes(coveredUntil)} to ${formatMinutes(from)}`, 'hours from 00:00 to 24:00 without a hole'));
		}

		coveredUntil = Math.max(coveredUntil, to);
	}

	if (coveredUntil < minutesPerDay) {
		diagnostics.push(createDiagnostic(path, `no hours from ${formatMinutes(coveredUntil)} to 24:00`, 'hours from 00:00 to 24:00 without a hole'));
	}

	return diagnostics;
};

/** Checks that the hours of each class cover the whole day without gaps or overlaps. */
export const checkHours = ({rules}: Configuration): Diagnostic[] =>
	rules.classes.flatMap((requestClass, index) => checkClassHours(requestClass, ['rules', 'classes', index, 'hours']));

/** Checks that the targets of each class set a time to the first token or to the whole response, and don't contradict each other. */
export const checkTargets = ({rules}: Configuration): Diagnostic[] => rules.classes.flatMap(({hours}, index) =>
	hours.flatMap(({targets}, hoursIndex) => {
		const path = ['rules', 'classes', index, 'hours', hoursIndex, 'targets'];
		if (targets.firstToken === undefined && targets.whole === undefined) {
			return [createDiagnostic(path, targets, 'a target for firstToken or whole')];
		}

		return (targets.firstToken ?? 0) > (targets.whole ?? Infinity)
			? [createDiagnostic(path, targets, 'a target for whole that is at least the one for firstToken')]
			: [];
	}));

const checkModelMatch = ({inventory}: Configuration, {match}: RequestClass, path: Path): Diagnostic[] => {
	const {models} = match;
	if (models === undefined) {
		return [];
	}

	if (models.length === 0) {
		return [createDiagnostic([...path, 'models'], models, 'at least one model; an empty list never matches')];
	}

	if (match.service !== undefined || match.method !== undefined || match.pathPrefix !== undefined) {
		return [createDiagnostic(path, match, 'either models, or service, method and pathPrefix; both never match at once')];
	}

	const knownNames = new Set([...getNames(inventory.models), ...getNames(inventory.adapters)]);
	return findUnknownNames(models, [...path, 'models'], knownNames, 'the name of a model or an adapter');
};

const checkServiceMatch = ({inventory}: Configuration, {match}: RequestClass, path: Path): Diagnostic[] => {
	if (match.service === undefined || getNames(inventory.services).has(match.service)) {
		return [];
	}

	return [createDiagnostic([...path, 'service'], match.service, 'the name of a service')];
};

/** Checks that at least one of the models that a class matches can be loaded by some engine. */
const checkLoadableModels = ({inventory}: Configuration, {match}: RequestClass, path: Path): Diagnostic[] => {
	const loadable = new Set(inventory.engines.flatMap(({models, adapters}) => [...models, ...adapters]));
	const models = match.models ?? [];
	return models.length > 0 && models.every(name => !loadable.has(name))
		? [createDiagnostic([...path, 'models'], models, 'a model that some engine may hold')]
		: [];
};

/** Checks that the match rule of each class refers to existing names and can match a request. */
export const checkMatches = (configuration: Configuration): Diagnostic[] =>
	configuration.rules.classes.flatMap((requestClass, index) => {
		const path = ['rules', 'classes', index, 'match'];
		const diagnostics = [
			...checkModelMatch(configuration, requestClass, path),
			...checkServiceMatch(configuration, requestClass, path),
		];
		return diagnostics.length === 0 ? checkLoadableModels(configuration, requestClass, path) : diagnostics;
	});
