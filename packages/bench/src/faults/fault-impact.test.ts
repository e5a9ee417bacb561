import type {ServiceCall} from '@gentianlift/fakes';
import type {CallRecord} from '@gentianlift/trial';
import {expect, test} from 'vitest';
import {getFaultImpact} from './fault-impact.js';

const createRecord = (change: Partial<CallRecord>): CallRecord => ({
	className: 'cut-order', customer: 'c', at: 6000, outcome: 'complete', errors: [], retries: 0, status: 200, ran: 'ran', request: 'r1', wholeAfter: 10, tokens: 0, ...change,
});

const createCall = (change: Partial<ServiceCall>): ServiceCall => ({
	method: 'POST', path: '/', idempotencyKey: 'k1', request: 'r1', body: '', at: 0, ...change,
});

test('counts a second execution under the same idempotency key', () => {
	const calls = [createCall({}), createCall({request: 'r2'}), createCall({idempotencyKey: '', request: 'r3'})];
	expect(getFaultImpact([], calls, 5000).duplicated).toBe(1);
});

test('a failure reported as not run is false only if that attempt was executed', () => {
	const records = [
		createRecord({outcome: 'failed', ran: 'not-run', errors: ['upstream-refused']}),
		createRecord({
			outcome: 'failed', ran: 'not-run', errors: ['upstream-refused'], request: 'r9',
		}),
	];
	expect(getFaultImpact(records, [createCall({})], 5000).falseNotRun).toBe(1);
});

test('measures recovery from the fault to the last request with a failed attempt', () => {
	const records = [createRecord({at: 4000, errors: ['connection']}), createRecord({at: 7000, errors: ['connection'], retries: 1}), createRecord({at: 9000})];
	const impact = getFaultImpact(records, [], 5000);
	expect(impact).toMatchObject({
		recoveredAfter: 2000, retried: 1, lost: 0, cut: 0,
	});
});
