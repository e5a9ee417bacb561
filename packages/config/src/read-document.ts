import type {z} from 'zod';
import {createDiagnostic, type Diagnostic, type Path} from './diagnostic.js';

type Issue = z.core.$ZodIssue;

/** Fields whose values are left out of diagnostics. */
const secretFields: ReadonlySet<string> = new Set(['peerKeys']);

const getValueAt = (document: unknown, path: Path): unknown => {
	let value: unknown = document;
	for (const segment of path) {
		if (typeof value !== 'object' || value === null) {
			return undefined;
		}

		value = (value as Record<string | number, unknown>)[segment];
	}

	return value;
};

const describeBound = (origin: string, bound: string): string => {
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

const describeExpected = (issue: Issue): string => {
	switch (issue.code) {
		case 'invalid_type': {
			return typeNames[issue.expected] ?? issue.expected;
		}

		case 'too_small': {
			return describeBound(issue.origin, issue.inclusive === false ? `more than ${issue.minimum}` : `at least ${issue.minimum}`);
		}

		case 'too_big': {
			return describeBound(issue.origin, issue.inclusive === false ? `less than ${issue.maximum}` : `at most ${issue.maximum}`);
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

const getIssuePath = (issue: Issue): Path => issue.path.map(segment => typeof segment === 'symbol' ? String(segment) : segment);

const createIssueDiagnostics = (document: unknown, issue: Issue): Diagnostic[] => {
	const path = getIssuePath(issue);
	if (issue.code === 'unrecognized_keys') {
		return issue.keys.map(key => createDiagnostic([...path, key], getValueAt(document, [...path, key]), 'no field of this name'));
	}

	const isSecret = path.some(segment => secretFields.has(String(segment)));
	const found = getValueAt(document, path);
	const diagnostic = createDiagnostic(path, found, describeExpected(issue));
	return [isSecret && found !== undefined ? {...diagnostic, found: 'a value that is not shown'} : diagnostic];
};

/** Result of reading a document: the value if the schema accepts it, else a diagnostic for each issue that the schema found. */
export type DocumentResult<Value> = {value?: Value; faults: Diagnostic[]};

/** Reads a document with a schema and reports all of its issues. */
export const readDocument = <Value>(schema: z.ZodType<Value>, document: unknown): DocumentResult<Value> => {
	const result = schema.safeParse(document);
	if (result.success) {
		return {value: result.data, faults: []};
	}

	return {faults: result.error.issues.flatMap(issue => createIssueDiagnostics(document, issue))};
};
