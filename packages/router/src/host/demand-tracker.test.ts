import {createAccounts} from '@gentianlift/claims';
import {createManualClock} from '@gentianlift/clock';
import type {ClassifiedRequest} from '@gentianlift/types';
import {expect, test} from 'vitest';
import {createDemandTracker} from './demand-tracker.js';

const getRequest = (id: string): ClassifiedRequest => ({
	id,
	customer: 'c',
	weight: 1,
	className: 'quote',
	tier: 'top',
	rank: 0,
	idempotent: true,
	arrivedAt: 0,
	targets: {firstToken: 1000},
	deadline: 1000,
	expectedTokens: 10,
	work: {
		kind: 'generation', model: 'm', adapter: 'a', promptTokens: 1, maxTokens: 1, stream: false, prefix: [],
	},
	digest: '',
	fingerprint: '',
});

test('counts queued and running requests, and refused ones for 10 seconds', async () => {
	const clock = createManualClock();
	const tracker = createDemandTracker(createAccounts({clock, capacity: 10}), clock);
	for (const id of ['waits', 'runs', 'refused', 'done']) {
		tracker.accounts.open(getRequest(id));
	}

	tracker.accounts.apply({kind: 'attempt-started', request: 'runs', upstream: 'e'});
	tracker.accounts.apply({
		kind: 'refused', request: 'refused', error: 'no-upstream', ran: 'not-run',
	});
	tracker.accounts.apply({kind: 'finished', request: 'done', status: 200});
	expect(tracker.getDemands()).toMatchObject([{
		className: 'quote', needs: 'a', running: 1, waiting: 2, target: 1000,
	}]);
	await clock.advance(10_000);
	expect(tracker.getDemands()).toMatchObject([{running: 1, waiting: 1}]);
	expect(tracker.accounts.getAccount('done')).toMatchObject({state: {kind: 'finished'}});
});
