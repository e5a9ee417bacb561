import {expect, test} from 'vitest';
import {describeCallFailure, detectCrash} from './attempt-failure.js';

test('distinguishes a rejected request from an upstream failure', () => {
	expect(describeCallFailure({kind: 'failed', status: 400, text: 'context too long'})).toMatchObject({error: 'upstream-rejected', ran: 'not-run', rejection: 'context too long'});
	expect(describeCallFailure({kind: 'failed', status: 429, text: ''})).toMatchObject({error: 'upstream-failed'});
	expect(describeCallFailure({kind: 'failed', status: 500, text: ''})).toMatchObject({error: 'upstream-failed', ran: 'ran', observation: 'error'});
});

test('reports a connection reset as a crash only if the upstream cannot be reached afterwards', async () => {
	const lost = describeCallFailure({kind: 'reset', reason: 'mid-answer'});
	const probe = async (kind: 'success' | 'unreachable') => detectCrash({checkHealth: async () => kind}, 'a:1', lost);
	expect(await probe('success')).toMatchObject({observation: 'reset'});
	expect(await probe('unreachable')).toMatchObject({observation: 'crashed'});
});

// Guards against: an upstream is ejected for the wait for this host's own connections.
test('a request that was not sent says nothing about its upstream', () => {
	expect(describeCallFailure({kind: 'unsent'})).toMatchObject({error: 'host-overloaded', ran: 'not-run', observation: undefined});
});

// Guards against: no line tells a response that isn't HTTP from a lost connection.
test('a failure says why, as far as that is known', () => {
	expect(describeCallFailure({kind: 'reset', reason: 'head-malformed'})).toMatchObject({error: 'upstream-reset', reason: 'head-malformed', ran: 'unknown'});
	expect(describeCallFailure({kind: 'refused', code: 'busy'}).reason).toBe('busy');
	expect(describeCallFailure({kind: 'failed', status: 500, text: ''}).reason).toBe('status-500');
	expect(describeCallFailure({kind: 'silent', after: 5}).reason).toBe(undefined);
});
