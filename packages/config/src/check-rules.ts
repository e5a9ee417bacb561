import type {Configuration, RequestClass} from '@gentianlift/types';
import {createDiagnostic, type Diagnostic, type Path} from './diagnostic.js';
import {getUnknown} from './check-inventory.js';
import {getRepeats} from './repeats.js';

const getNames = (items: Array<{name: string}>): Set<string> => new Set(items.map(({name}) => name));

/** Checks that classes have names of their own and tiers that exist. */
export const checkClasses = ({rules}: Configuration): Diagnostic[] => {
	const tiers = getNames(rules.tiers);
	const places = rules.classes.map(({name}, index) => ({path: ['rules', 'classes', index, 'name'], value: name}));
	const dangling = rules.classes.flatMap(({tier}, index) => tiers.has(tier)
		? []
		: [createDiagnostic(['rules', 'classes', index, 'tier'], tier, 'the name of a tier')]);
	return [...getRepeats(places, 'a name that no other class has'), ...dangling];
};

const minutesPerHour = 60;
const minutesPerDay = 24 * minutesPerHour;

const getMinutes = (time: string): number => {
	const [hours = 0, minutes = 0] = time.split(':').map(Number);
	return (hours * minutesPerHour) + minutes;
};

const formatMinutes = (minutes: number): string => {
	const hours = Math.floor(minutes / minutesPerHour);
	return `${String(hours).padStart(2, '0')}:${String(minutes % minutesPerHour).padStart(2, '0')}`;
};

const checkClassHours = ({hours}: RequestClass, path: Path): Diagnostic[] => {
	const faults: Diagnostic[] = [];
	const spans = hours.map(({from, to}, index) => ({from: getMinutes(from), to: getMinutes(to), index}));
	let covered = 0;
	for (const {from, to, index} of spans.toSorted((a, b) => a.from - b.from)) {
		const {from: start, to: end} = hours[index] ?? {};
		const found = `${start} to ${end}`;
		if (to <= from) {
			faults.push(createDiagnostic([...path, index], found, 'an end after the start; split hours that pass midnight in two'));
			continue;
		}

		if (from < covered) {
			faults.push(createDiagnostic([...path, index], found, `hours that don't overlap; those before it last until ${formatMinutes(covered)}`));
		}

		if (from > covered) {
			faults.push(createDiagnostic(path, `no hours from ${formatMinutes(covered)} to ${formatMinutes(from)}`, 'hours from 00:00 to 24:00 without a hole'));
		}

		covered = Math.max(covered, to);
	}

	if (covered < minutesPerDay) {
		faults.push(createDiagnostic(path, `no hours from ${formatMinutes(covered)} to 24:00`, 'hours from 00:00 to 24:00 without a hole'));
	}

	return faults;
};

/** Checks that each class's hours cover the day once. */
export const checkHours = ({rules}: Configuration): Diagnostic[] =>
	rules.classes.flatMap((requestClass, index) => checkClassHours(requestClass, ['rules', 'classes', index, 'hours']));

/** Checks that each class's targets say something that can be met. */
export const checkTargets = ({rules}: Configuration): Diagnostic[] => rules.classes.flatMap(({hours}, index) =>
	hours.flatMap(({targets}, place) => {
		const path = ['rules', 'classes', index, 'hours', place, 'targets'];
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

	const known = new Set([...getNames(inventory.models), ...getNames(inventory.adapters)]);
	return getUnknown(models, [...path, 'models'], known, 'the name of a model or an adapter');
};

const checkServiceMatch = ({inventory}: Configuration, {match}: RequestClass, path: Path): Diagnostic[] => {
	if (match.service === undefined || getNames(inventory.services).has(match.service)) {
		return [];
	}

	return [createDiagnostic([...path, 'service'], match.service, 'the name of a service')];
};

const checkHeldModels = ({inventory}: Configuration, {match}: RequestClass, path: Path): Diagnostic[] => {
	const held = new Set(inventory.engines.flatMap(({models, adapters}) => [...models, ...adapters]));
	const models = match.models ?? [];
	return models.length > 0 && models.every(name => !held.has(name))
		? [createDiagnostic([...path, 'models'], models, 'a model that some engine may hold')]
		: [];
};

/** Checks that each class's rule names what exists and can match a request. */
export const checkMatches = (configuration: Configuration): Diagnostic[] =>
	configuration.rules.classes.flatMap((requestClass, index) => {
		const path = ['rules', 'classes', index, 'match'];
		const faults = [
			...checkModelMatch(configuration, requestClass, path),
			...checkServiceMatch(configuration, requestClass, path),
		];
		return faults.length === 0 ? checkHeldModels(configuration, requestClass, path) : faults;
	});
