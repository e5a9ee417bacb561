import {formatFound} from '@gentianlift/errors';
import {formatPath, type Path} from './diagnostic.js';

/** A difference between two documents; a missing value is undefined. */
export type FieldChange = {
	/** JSON path of the value; list items that have names are identified by their name instead of their index. */
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

/** Returns the items of a list by their name; undefined unless all items have distinct names. */
const indexByName = (list: unknown[]): Fields | undefined => {
	const entries = list.map(item => [getName(item), item] as const);
	const isNamed = entries.every(([name]) => name !== undefined) && new Set(entries.map(([name]) => name)).size === list.length;
	return isNamed ? Object.fromEntries(entries) as Fields : undefined;
};

/**
Returns the fields of two objects, or the items of two lists by their names so that a reordered item isn't a change.
Undefined if the values can't be compared in this way.
*/
const getComparableParts = (before: unknown, after: unknown): [Fields, Fields] | undefined => {
	if (Array.isArray(before) && Array.isArray(after)) {
		const indexed = [indexByName(before), indexByName(after)] as const;
		return indexed[0] === undefined || indexed[1] === undefined ? undefined : [indexed[0], indexed[1]];
	}

	return isObject(before) && isObject(after) && !Array.isArray(before) && !Array.isArray(after) ? [before, after] : undefined;
};

const getChanges = (before: unknown, after: unknown, path: Path): FieldChange[] => {
	const parts = getComparableParts(before, after);
	if (parts === undefined) {
		return JSON.stringify(before) === JSON.stringify(after) ? [] : [{path: formatPath(path), before, after}];
	}

	const [beforeParts, afterParts] = parts;
	const names = [...new Set([...Object.keys(beforeParts), ...Object.keys(afterParts)])];
	return names.flatMap(name => getChanges(beforeParts[name], afterParts[name], [...path, name]));
};

/** Returns the differences between two documents; the order of list items that have names is ignored. */
export const getDifference = (before: unknown, after: unknown): FieldChange[] => getChanges(before, after, []);

/** Formats a change as a single line. */
export const formatChange = ({path, before, after}: FieldChange): string => {
	if (before === undefined) {
		return `+ ${path}: ${formatFound(after)}`;
	}

	return after === undefined ? `- ${path}: ${formatFound(before)}` : `~ ${path}: ${formatFound(before)} -> ${formatFound(after)}`;
};
