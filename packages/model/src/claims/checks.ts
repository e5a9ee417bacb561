import {explore} from '../explore.js';
import type {Check} from '../specification.js';
import {createClaimSpecification} from './specification.js';
import type {Bounds, Fault} from './state.js';

const maxStates = 400_000;

const attempts = [{host: 0, incarnation: 1}, {host: 1, incarnation: 1}];

/** Bounds with a single write, for a quick check. */
export const singleWriteBounds: Bounds = {
	maxWrites: 1, maxCrashes: 0, maxDeliveries: 1, attempts,
};

const lateWriteBounds: Bounds = {...singleWriteBounds, maxWrites: 3};
const crashBounds: Bounds = {...singleWriteBounds, maxWrites: 2, maxCrashes: 1};
const duplicateMessageBounds: Bounds = {...singleWriteBounds, maxDeliveries: 2};
const retryAfterCrashBounds: Bounds = {
	...singleWriteBounds, maxCrashes: 1, maxWrites: 2, attempts: [{host: 0, incarnation: 1}, {host: 0, incarnation: 2}],
};

const createCheck = (name: string, bounds: Bounds): Check =>
	({name, explore: () => explore(createClaimSpecification(bounds, 'none', maxStates))});

const createFaultCheck = (fault: Fault, bounds: Bounds, caughtBy: string): Check => ({
	name: `claims with fault ${fault}`,
	caughtBy,
	explore: () => explore(createClaimSpecification(bounds, fault, maxStates), caughtBy),
});

/** Checks of the claim protocol: it holds within several bounds, and each fault is caught. */
export const claimChecks: Check[] = [
	createCheck('claims, lost and late writes', lateWriteBounds),
	createCheck('claims, crashes of both hosts', crashBounds),
	createCheck('claims, doubled messages', duplicateMessageBounds),
	createCheck('claims, resend after a crash', retryAfterCrashBounds),
	createFaultCheck('start-on-unknown', singleWriteBounds, 'a request starts only while its claim is stored'),
	createFaultCheck('answer-without-write', {...singleWriteBounds, maxWrites: 2}, 'a request starts only while its claim is stored'),
	createFaultCheck('write-without-compare', {...singleWriteBounds, maxWrites: 2}, 'a booking runs at most once'),
	createFaultCheck('forget-given-up', {...retryAfterCrashBounds}, 'a stored outcome never changes'),
	createFaultCheck('settle-for-gone', {...retryAfterCrashBounds}, 'a booking runs at most once'),
	createFaultCheck('start-after-giving-up', singleWriteBounds, 'what was told not run never runs'),
	createFaultCheck('settle-twice', {...singleWriteBounds, maxWrites: 3}, 'a stored outcome never changes'),
];
