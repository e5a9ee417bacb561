import {readFileSync} from 'node:fs';
import {expect, test} from 'vitest';
import {
	createFailure, errorKinds, errorTable, getErrorBody, getFailure,
} from './index.js';

test('tells what ran and when to retry', () => {
	const failure = createFailure('queue-full', {retryAfter: 1200});
	expect(getErrorBody(failure, 'a.1.1').error).toMatchObject({code: 'queue-full', ran: 'not-run', retry_after: 2});
});

test('reports what was not foreseen as internal', () => {
	expect(getFailure(new Error('x')).kind).toBe('internal');
});

test('never tells not-run with a status that says success', () => {
	for (const kind of errorKinds) {
		expect(errorTable[kind].status).toBeGreaterThanOrEqual(400);
	}
});

test('the page of errors holds the table', () => {
	const page = readFileSync(new URL('../../../docs/ERRORS.md', import.meta.url), 'utf8');
	const rows = errorKinds.map(kind => {
		const {status, ran, retry, message} = errorTable[kind];
		return `| \`${kind}\` | ${status} | ${ran} | ${retry} | ${message} |`;
	});
	expect(page.split('\n').filter(line => line.startsWith('| `'))).toEqual(rows);
});
