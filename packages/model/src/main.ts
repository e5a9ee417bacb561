import process from 'node:process';
import {checks} from './checks.js';
import {runCheck} from './run-checks.js';

const wanted = process.argv[2] ?? '';
const results = checks.filter(({name}) => name.includes(wanted)).map(check => {
	const result = runCheck(check);
	console.log(result.lines.join('\n'));
	return result;
});
const passed = results.filter(({isPassed}) => isPassed).length;
const failed = results.length - passed;
console.log(`${passed} passed, ${failed} failed`);
process.exitCode = failed > 0 || results.length === 0 ? 1 : 0;
