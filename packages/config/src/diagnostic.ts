import {formatFound} from '@gentianlift/errors';

/** A validation error in a document. */
export type Diagnostic = {
	/** JSON path of the invalid value, such as `$.rules.classes[2].hours`. */
	path: string;
	/** The value at the path as JSON, truncated; `nothing` if the field is missing. */
	found: string;
	/** Description of the valid values. */
	expected: string;
};

/** Result of parsing a document: the value, or all validation errors of the document. */
export type ParseResult<Value>
	= | {kind: 'valid'; value: Value}
		| {kind: 'invalid'; faults: Diagnostic[]};

/** Field names and list indexes that lead from the root of a document to a value in it. */
export type Path = ReadonlyArray<string | number>;

const identifierPattern = /^[A-Za-z_]\w*$/v;

const formatSegment = (segment: string | number): string => {
	if (typeof segment === 'number') {
		return `[${segment}]`;
	}

	return identifierPattern.test(segment) ? `.${segment}` : `[${JSON.stringify(segment)}]`;
};

/** Formats a path as JSON path text. */
export const formatPath = (path: Path): string => `$${path.map(segment => formatSegment(segment)).join('')}`;

/** Creates a diagnostic for the value at a path. */
export const createDiagnostic = (path: Path, found: unknown, expected: string): Diagnostic =>
	({path: formatPath(path), found: formatFound(found), expected});

/** Formats a diagnostic as a single line. */
export const formatDiagnostic = ({path, found, expected}: Diagnostic): string =>
	`${path}: found ${found}, expected ${expected}`;
