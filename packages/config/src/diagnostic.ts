/** One fault of a document. */
export type Diagnostic = {
	/** JSON path of the fault, such as `$.rules.classes[2].hours`. */
	path: string;
	/** What stands there, shortened; `nothing` if the field is missing. */
	found: string;
	/** What should stand there. */
	expected: string;
};

/** Outcome of a parse: the value, or every fault of the document. */
export type Parsed<Value>
	= | {kind: 'valid'; value: Value}
		| {kind: 'invalid'; faults: Diagnostic[]};

/** Steps from the root of a document to a place in it. */
export type Path = ReadonlyArray<string | number>;

const longestFound = 60;
const plainName = /^[A-Za-z_]\w*$/v;

const formatStep = (step: string | number): string => {
	if (typeof step === 'number') {
		return `[${step}]`;
	}

	return plainName.test(step) ? `.${step}` : `[${JSON.stringify(step)}]`;
};

/** Formats a path as a JSON path. */
export const formatPath = (path: Path): string => `$${path.map(step => formatStep(step)).join('')}`;

/** Formats a value of a document for a diagnostic, shortened. */
export const formatFound = (value: unknown): string => {
	if (value === undefined) {
		return 'nothing';
	}

	const text = JSON.stringify(value);
	return text.length > longestFound ? `${text.slice(0, longestFound)}...` : text;
};

/** Creates a diagnostic of a value that stands at a path. */
export const createDiagnostic = (path: Path, found: unknown, expected: string): Diagnostic =>
	({path: formatPath(path), found: formatFound(found), expected});

/** Formats a diagnostic as one line. */
export const formatDiagnostic = ({path, found, expected}: Diagnostic): string =>
	`${path}: found ${found}, expected ${expected}`;
