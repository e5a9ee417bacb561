import type {z} from 'zod';
import {createDiagnostic, type Diagnostic, type Path} from './diagnostic.js';

type Issue = z.core.$ZodIssue;

const secretFields: ReadonlySet<string> = new Set(['peerKeys']);

const getAt = (document: unknown, path: Path): unknown => {
	let value: unknown = document;
	for (const step of path) {
		if (typeof value !== 'object' || value === null) {
			return undefined;
		}

		value = (value as Record<string | number, unknown>)[step];
	}

	return value;
};

const getSize = (origin: string, bound: string): string => {
	switch (origin) {
		case 'string': {
			return `a text of ${bound} characters`;
		}

		case 'array': {
			return `a list of ${bound} items`;
		}

		default: {
			return `a number that is ${bound}`;
		}
	}
};

const typeNames: Record<string, string> = {
	string: 'a text',
	number: 'a number',
	int: 'a whole number',
	boolean: 'true or false',
	array: 'a list',
	object: 'an object',
};

const getExpected = (issue: Issue): string => {
	switch (issue.code) {
		case 'invalid_type': {
			return typeNames[issue.expected] ?? issue.expected;
		}

		case 'too_small': {
			return getSize(issue.origin, issue.inclusive === false ? `more than ${issue.minimum}` : `at least ${issue.minimum}`);
		}

		case 'too_big': {
			return getSize(issue.origin, issue.inclusive === false ? `less than ${issue.maximum}` : `at most ${issue.maximum}`);
		}

		case 'invalid_value': {
			return `one of ${issue.values.map(value => JSON.stringify(value)).join(', ')}`;
		}

		case 'invalid_format':
		case 'custom':
		case 'not_multiple_of':
		case 'unrecognized_keys':
		case 'invalid_union':
		case 'invalid_key':
		case 'invalid_element': {
			return issue.message;
		}
	}
};

const getPath = (issue: Issue): Path => issue.path.map(step => typeof step === 'symbol' ? String(step) : step);

const getIssueDiagnostics = (document: unknown, issue: Issue): Diagnostic[] => {
	const path = getPath(issue);
	if (issue.code === 'unrecognized_keys') {
		return issue.keys.map(key => createDiagnostic([...path, key], getAt(document, [...path, key]), 'no field of this name'));
	}

	const isSecret = path.some(step => secretFields.has(String(step)));
	const found = getAt(document, path);
	const diagnostic = createDiagnostic(path, found, getExpected(issue));
	return [isSecret && found !== undefined ? {...diagnostic, found: 'a value that is not shown'} : diagnostic];
};

/** What a schema makes of a document: the value if its shape is right, and every fault of its shape. */
export type DocumentReading<Value> = {value?: Value; faults: Diagnostic[]};

/** Reads a document with a schema and reports every fault of its shape. */
export const readDocument = <Value>(schema: z.ZodType<Value>, document: unknown): DocumentReading<Value> => {
	const result = schema.safeParse(document);
	if (result.success) {
		return {value: result.data, faults: []};
	}

	return {faults: result.error.issues.flatMap(issue => getIssueDiagnostics(document, issue))};
};
