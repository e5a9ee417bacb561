import {
	createDiagnostic, formatPath, type Diagnostic, type Path,
} from './diagnostic.js';

/** A value and where it stands in the document. */
export type Place = {path: Path; value: string};

/** Gets a fault for each value that stands at an earlier place as well. */
export const getRepeats = (places: Place[], expected: string): Diagnostic[] => {
	const first = new Map<string, Path>();
	const faults: Diagnostic[] = [];
	for (const {path, value} of places) {
		const earlier = first.get(value);
		if (earlier === undefined) {
			first.set(value, path);
		} else {
			faults.push(createDiagnostic(path, value, `${expected}; ${formatPath(earlier)} has the same`));
		}
	}

	return faults;
};
