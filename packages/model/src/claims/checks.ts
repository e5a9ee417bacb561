import {explore} from '../explore.js';
import type {Check} from '../specification.js';
import {createClaimSpecification} from './claims.js';
import type {Bounds, Fault} from './state.js';

const stateLimit = 400_000;

const attempts = [{host: 0, run: 1}, {host: 1, run: 1}];

/** One write only, as a quick check. */
export const shortBounds: Bounds = {
	writes: 1, crashes: 0, deliveries: 1, attempts,
};

const lateWrites: Bounds = {...shortBounds, writes: 3};
const crashes: Bounds = {...shortBounds, writes: 2, crashes: 1};
const doubledMessages: Bounds = {...shortBounds, deliveries: 2};
const resendAfterCrash: Bounds = {
	...shortBounds, crashes: 1, writes: 2, attempts: [{host: 0, run: 1}, {host: 0, run: 2}],
};

const createCheck = (name: string, bounds: Bounds): Check =>
	({name, explore: () => explore(createClaimSpecification(bounds, 'none', stateLimit))});

const createFaultCheck = (fault: Fault, bounds: Bounds, caughtBy: string): Check => ({
	name: `claims with fault ${fault}`,
	caughtBy,
	explore: () => explore(createClaimSpecification(bounds, fault, stateLimit), caughtBy),
});

/** Checks of the claims. */
export const claimChecks: Check[] = [
	createCheck('claims, lost and late writes', lateWrites),
	createCheck('claims, crashes of both hosts', crashes),
	createCheck('claims, doubled messages', doubledMessages),
	createCheck('claims, resend after a crash', resendAfterCrash),
	createFaultCheck('start-on-unknown', shortBounds, 'a request starts only while its claim is stored'),
	createFaultCheck('answer-without-write', {...shortBounds, writes: 2}, 'a request starts only while its claim is stored'),
	createFaultCheck('write-without-compare', {...shortBounds, writes: 2}, 'a booking runs at most once'),
	createFaultCheck('forget-given-up', {...resendAfterCrash}, 'a stored outcome never changes'),
	createFaultCheck('settle-for-gone', {...resendAfterCrash}, 'a booking runs at most once'),
	createFaultCheck('start-after-giving-up', shortBounds, 'what was told not run never runs'),
	createFaultCheck('settle-twice', {...shortBounds, writes: 3}, 'a stored outcome never changes'),
];
