import {
	createDiagnostic, formatPath, type Diagnostic, type Path,
} from './diagnostic.js';

/** An occurrence of a value in a document. */
export type Occurrence = {path: Path; value: string};

/** Returns a diagnostic for each value that also occurs earlier in the list. */
export const findDuplicates = (occurrences: Occurrence[], expected: string): Diagnostic[] => {
	const firstPaths = new Map<string, Path>();
	const diagnostics: Diagnostic[] = [];
	for (const {path, value} of occurrences) {
		const firstPath = firstPaths.get(value);
		if (firstPath === undefined) {
			firstPaths.set(value, path);
		} else {
			diagnostics.push(createDiagnostic(path, value, `${expected}; ${formatPath(firstPath)} has the same`));
		}
	}

	return diagnostics;
};
