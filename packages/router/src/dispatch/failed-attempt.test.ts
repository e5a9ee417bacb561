import {expect, test} from 'vitest';
import {getFailedAttempt, detectCrash} from './failed-attempt.js';

test('distinguishes a rejected request from an upstream failure', () => {
	expect(getFailedAttempt({kind: 'failed', status: 400, text: 'context too long'})).toMatchObject({error: 'upstream-rejected', ran: 'not-run', rejection: 'context too long'});
	expect(getFailedAttempt({kind: 'failed', status: 429, text: ''})).toMatchObject({error: 'upstream-failed'});
	expect(getFailedAttempt({kind: 'failed', status: 500, text: ''})).toMatchObject({error: 'upstream-failed', ran: 'ran', sighting: 'error'});
});

test('reports a connection reset as a crash only if the upstream cannot be reached afterwards', async () => {
	const lost = getFailedAttempt({kind: 'reset', reason: 'mid-answer'});
	const probe = async (kind: 'success' | 'unreachable') => detectCrash({checkHealth: async () => kind}, 'a:1', lost);
	expect(await probe('success')).toMatchObject({sighting: 'reset'});
	expect(await probe('unreachable')).toMatchObject({sighting: 'crashed'});
});
