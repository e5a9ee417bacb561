import type {Check, Exploration, Violation} from './specification.js';

/** Result of a check, with the lines to print. */
export type CheckResult = {name: string; isPassed: boolean; lines: string[]};

const getTraceLines = ({invariant, trace}: Violation): string[] => [
	`  breaks "${invariant}" after ${trace.length} events`,
	...trace.map(event => `    ${JSON.stringify(event)}`),
];

const isPassed = ({caughtBy}: Check, {violations}: Exploration): boolean =>
	caughtBy === undefined ? violations.length === 0 : violations.some(({invariant}) => invariant === caughtBy);

const getVerdict = ({caughtBy}: Check, hasPassed: boolean): string => {
	if (caughtBy === undefined) {
		return hasPassed ? 'holds' : 'broken';
	}

	return hasPassed ? `fault caught by "${caughtBy}"` : `fault not caught by "${caughtBy}"`;
};

/** Runs a check. The traces of violations are printed unless they are those of a fault that was caught. */
export const runCheck = (check: Check): CheckResult => {
	const exploration = check.explore();
	const hasPassed = isPassed(check, exploration);
	const summary = `${check.name}: ${exploration.states} states, ${exploration.transitions} transitions, ${getVerdict(check, hasPassed)}`;
	const isCaughtFault = hasPassed && check.caughtBy !== undefined;
	const traces = isCaughtFault ? [] : exploration.violations.flatMap(violation => getTraceLines(violation));
	return {name: check.name, isPassed: hasPassed, lines: [summary, ...traces]};
};
