import {cutFields, hasMoreValues} from './json-syntax.js';

/** An object as JSON gives it, whose fields are checked when they are read. */
export type JsonObject = Record<string, unknown>;

/** Lowest and highest value of a number. */
export type Bounds = {min: number; max: number};

/** Longest time that timers hold, in milliseconds. */
const maxTimer = 2_147_483_647;

/** Bounds of the numbers that others write. */
export const fieldBounds = {
	/** Milliseconds of a timeout or a target. */
	time: {min: 1, max: maxTimer},
	/** Milliseconds since the epoch. */
	date: {min: 0, max: Number.MAX_SAFE_INTEGER},
	version: {min: 0, max: Number.MAX_SAFE_INTEGER},
	rank: {min: 0, max: 1000},
	weight: {min: 0, max: 1e9},
	/** Requests, connections or upstreams. */
	count: {min: 1, max: 1_000_000},
	attempts: {min: 1, max: 1000},
	tokens: {min: 0, max: 1e12},
	/** Tokens of one prompt; a caller that names more is mistaken. */
	promptTokens: {min: 0, max: 1e9},
	bytes: {min: 1, max: 1e12},
} as const satisfies Record<string, Bounds>;

/** Longest name of a service, zone, route or version. */
const maxNameLength = 200;

/** Whether a value is an object and no list. */
export const isJsonObject = (value: unknown): value is JsonObject => typeof value === 'object' && value !== null && !Array.isArray(value);

/** Returns the objects of a list; nothing else in it counts. */
export const readObjects = (value: unknown): JsonObject[] => Array.isArray(value) ? value.filter(item => isJsonObject(item)) : [];

/** Returns a number within its bounds, the nearest one to the value; the fallback for what isn't a finite number. */
export const readNumber = (value: unknown, {min, max}: Bounds, fallback: number): number =>
	typeof value === 'number' && Number.isFinite(value) ? Math.min(max, Math.max(min, value)) : fallback;

/** Whether a value is a whole number within its bounds. */
export const isIntegerWithin = (value: unknown, {min, max}: Bounds): value is number =>
	typeof value === 'number' && Number.isSafeInteger(value) && value >= min && value <= max;

/** Returns a text; an empty one for what isn't a text. */
export const readString = (value: unknown): string => typeof value === 'string' ? value : '';

/** Whether a value is a name: a text that is neither empty nor too long. */
export const isName = (value: unknown): value is string => typeof value === 'string' && value !== '' && value.length <= maxNameLength;

/** Most values in the text of a record that is parsed whole; what a text takes when it is parsed depends on their number. */
export const maxRecordValues = 131_072;

/** What the text of an object begins with; it tells most other texts without reading them. */
const objectStart = /^\s*\{/v;

/** Parses a JSON object; undefined if the text is none. */
export const parseJsonObject = (text: string): JsonObject | undefined => {
	if (!objectStart.test(text)) {
		return undefined;
	}

	try {
		const value: unknown = JSON.parse(text);
		return isJsonObject(value) ? value : undefined;
	} catch {
		return undefined;
	}
};

/** Parses a record, an object with known fields; undefined if the text is none. Of one with more than `maxRecordValues` values, the others aren't parsed. */
export const parseRecordFields = (text: string, names: ReadonlySet<string>): JsonObject | undefined => {
	const known = objectStart.test(text) && hasMoreValues(text, maxRecordValues) ? cutFields(text, names) : text;
	return hasMoreValues(known, maxRecordValues) ? undefined : parseJsonObject(known);
};
