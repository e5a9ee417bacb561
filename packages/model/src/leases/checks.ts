import {explore} from '../explore.js';
import type {Check} from '../specification.js';
import {createLeaseSpecification, leaseInvariants} from './specification.js';
import {leaseFaults, type LeaseFault, type LeaseVariant} from './state.js';

/** Variants that have to hold: two leases with up to two faults, and three leases without faults. */
const variants: LeaseVariant[] = [
	{fencing: 'checked', maxLeases: 2, maxFaults: 2},
	{fencing: 'checked', maxLeases: 3, maxFaults: 0},
	{fencing: 'ignored', maxLeases: 2, maxFaults: 2},
	{fencing: 'ignored', maxLeases: 3, maxFaults: 0},
];

const caughtBy: Record<LeaseFault, string> = {
	'no-wait': leaseInvariants.ordered,
	'no-engine-check': leaseInvariants.ordered,
	'no-validity-check': leaseInvariants.ordered,
	'early-lapse': leaseInvariants.single,
	'unknown-is-applied': leaseInvariants.single,
	'number-not-raised': leaseInvariants.unique,
};

const getFencing = (fault: LeaseFault): LeaseVariant['fencing'] =>
	fault === 'no-wait' || fault === 'no-validity-check' ? 'ignored' : 'checked';

/** Checks of leases with fencing: the specification holds, and each fault put into it is caught. */
export const leaseChecks: Check[] = [
	...variants.map(variant => ({
		name: `leases, numbers ${variant.fencing}, ${variant.maxLeases} leases, ${variant.maxFaults} faults`,
		explore: () => explore(createLeaseSpecification(variant)),
	})),
	...leaseFaults.map(fault => ({
		name: `leases with fault ${fault}`,
		caughtBy: caughtBy[fault],
		explore: () => explore(createLeaseSpecification({
			fencing: getFencing(fault), fault, maxLeases: 2, maxFaults: 1,
		})),
	})),
];
