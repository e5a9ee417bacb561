import {readFileSync} from 'node:fs';
import {expect, test} from 'vitest';
import {
	createFailure, errorKinds, errorTable, getErrorBody, toRequestFailure,
} from './index.js';

test('the body states whether the request ran and rounds the retry time up to seconds', () => {
	const failure = createFailure('queue-full', {retryAfter: 1200});
	expect(getErrorBody(failure, 'a.1.1').error).toMatchObject({code: 'queue-full', ran: 'not-run', retry_after: 2});
});

test('an unexpected error becomes an internal failure', () => {
	expect(toRequestFailure(new Error('x')).kind).toBe('internal');
});

test('every kind has an error status, so that no request that has not run looks successful', () => {
	for (const kind of errorKinds) {
		expect(errorTable[kind].status).toBeGreaterThanOrEqual(400);
	}
});

test('docs/ERRORS.md lists the error table', () => {
	const page = readFileSync(new URL('../../../docs/ERRORS.md', import.meta.url), 'utf8');
	const rows = errorKinds.map(kind => {
		const {status, ran, retry, message} = errorTable[kind];
		return `| \`${kind}\` | ${status} | ${ran} | ${retry} | ${message} |`;
	});
	expect(page.split('\n').filter(line => line.startsWith('| `'))).toEqual(rows);
});
