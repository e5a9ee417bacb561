import {expect, test} from 'vitest';
import {createManualClock} from '@gentianlift/clock';
import type {Claim, ClaimOutcome, ClassifiedRequest} from '@gentianlift/types';
import {createAccounts, getClaimAccount} from '../index.js';

const createRequest = (id: string): ClassifiedRequest => ({
	id,
	customer: 'kopi',
	weight: 1,
	className: 'cut-order',
	tier: 'sales',
	rank: 0,
	idempotent: false,
	arrivedAt: 0,
	targets: {},
	deadline: 0,
	expectedTokens: 0,
	work: {
		kind: 'call', service: 'orders', method: 'POST', path: '/cut-orders',
	},
	digest: 'd',
	fingerprint: 'f',
});

const getAccount = (...events: Array<Parameters<ReturnType<typeof createAccounts>['apply']>[0]>) => {
	const accounts = createAccounts({clock: createManualClock(), capacity: 2});
	accounts.open(createRequest('r'));
	for (const event of events) {
		accounts.apply(event);
	}

	return accounts.getAccount('r');
};

const started = {kind: 'attempt-started', request: 'r', upstream: 'u'} as const;

test('a waiting request has not run, a running one may have', () => {
	expect(getAccount()).toMatchObject({ran: 'not-run', state: {kind: 'waiting'}});
	expect(getAccount(started)).toMatchObject({ran: 'unknown', state: {kind: 'running'}, attempts: [{outcome: 'running'}]});
});

test('a refused attempt leaves the request not run', () => {
	const refused = {
		kind: 'attempt-ended', request: 'r', upstream: 'u', outcome: 'refused', tokens: 0, ran: 'not-run',
	} as const;
	expect(getAccount(started, refused)).toMatchObject({ran: 'not-run', attempts: [{outcome: 'refused'}]});
});

test('after an attempt that was reset, a refused one leaves the run state unknown', () => {
	const reset = {
		kind: 'attempt-ended', request: 'r', upstream: 'u', outcome: 'reset', tokens: 0, ran: 'unknown',
	} as const;
	const second = {...started, upstream: 'v'};
	const refused = {
		...reset, upstream: 'v', outcome: 'refused', ran: 'not-run',
	} as const;
	expect(getAccount(started, reset, second, refused)).toMatchObject({ran: 'unknown'});
});

test('an event after the end leaves an account unchanged', () => {
	const finished = {kind: 'finished', request: 'r', status: 200} as const;
	expect(getAccount(started, finished, {kind: 'cancelled', request: 'r', ran: 'ran'})).toMatchObject({state: {kind: 'finished', status: 200}});
});

test('evicts the oldest account that has ended', () => {
	const accounts = createAccounts({clock: createManualClock(), capacity: 2});
	accounts.open(createRequest('open'));
	accounts.open(createRequest('ended'));
	accounts.apply({kind: 'finished', request: 'ended', status: 200});
	accounts.open(createRequest('new'));
	expect(['open', 'ended', 'new'].map(id => accounts.getAccount(id) !== undefined)).toEqual([true, false, true]);
});

test('derives the account of a request from its claim', () => {
	const create = (outcome: ClaimOutcome): Claim => ({
		customer: 'kopi', key: 'k', digest: 'd', request: 'a.1.1', host: 'a', incarnation: 1, claimedAt: 5, upstream: 'u', outcome,
	});
	const get = (outcome: ClaimOutcome, isGone = false) => getClaimAccount(create(outcome), () => isGone);
	expect(get({kind: 'claimed'})).toMatchObject({ran: 'unknown', state: {kind: 'running'}});
	expect(get({kind: 'claimed'}, true)).toMatchObject({ran: 'unknown', state: {kind: 'unknown'}});
	expect(get({kind: 'finished', status: 201})).toMatchObject({ran: 'ran', state: {kind: 'finished', status: 201}});
	expect(get({kind: 'not-run'})).toMatchObject({ran: 'not-run', state: {kind: 'refused'}});
});
