import {formatFound, formatPath, type Path} from './diagnostic.js';

/** One place at which two documents differ; an absent value is undefined. */
export type Change = {
	/** JSON path; items of lists that have names are told by their name. */
	path: string;
	before: unknown;
	after: unknown;
};

type Fields = Record<string, unknown>;

const isObject = (value: unknown): value is Fields => typeof value === 'object' && value !== null;

const getName = (value: unknown): string | undefined => {
	const name = isObject(value) ? value.id ?? value.name : undefined;
	return typeof name === 'string' ? name : undefined;
};

const getNamed = (list: unknown[]): Fields | undefined => {
	const entries = list.map(item => [getName(item), item] as const);
	const isNamed = entries.every(([name]) => name !== undefined) && new Set(entries.map(([name]) => name)).size === list.length;
	return isNamed ? Object.fromEntries(entries) as Fields : undefined;
};

/** Gets the parts of both values under the same names, so that a moved item is no change. */
const getParts = (before: unknown, after: unknown): [Fields, Fields] | undefined => {
	if (Array.isArray(before) && Array.isArray(after)) {
		const named = [getNamed(before), getNamed(after)] as const;
		return named[0] === undefined || named[1] === undefined ? undefined : [named[0], named[1]];
	}

	return isObject(before) && isObject(after) && !Array.isArray(before) && !Array.isArray(after) ? [before, after] : undefined;
};

const getChanges = (before: unknown, after: unknown, path: Path): Change[] => {
	const parts = getParts(before, after);
	if (parts === undefined) {
		return JSON.stringify(before) === JSON.stringify(after) ? [] : [{path: formatPath(path), before, after}];
	}

	const [first, second] = parts;
	const names = [...new Set([...Object.keys(first), ...Object.keys(second)])];
	return names.flatMap(name => getChanges(first[name], second[name], [...path, name]));
};

/** Gets the places at which two documents differ; the order of items that have names doesn't count. */
export const getDifference = (before: unknown, after: unknown): Change[] => getChanges(before, after, []);

/** Formats a change as one line. */
export const formatChange = ({path, before, after}: Change): string => {
	if (before === undefined) {
		return `+ ${path}: ${formatFound(after)}`;
	}

	return after === undefined ? `- ${path}: ${formatFound(before)}` : `~ ${path}: ${formatFound(before)} -> ${formatFound(after)}`;
};
