import {explore} from '../explore.js';
import type {Check} from '../specification.js';
import {createLeaseSpecification, leaseInvariants} from './specification.js';
import {leaseFaults, type LeaseFault, type LeaseVariant} from './state.js';

/** Variants that have to hold: many faults over two leases, and three leases without. */
const variants: LeaseVariant[] = [
	{fencing: 'checked', leases: 2, faults: 2},
	{fencing: 'checked', leases: 3, faults: 0},
	{fencing: 'ignored', leases: 2, faults: 2},
	{fencing: 'ignored', leases: 3, faults: 0},
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

/** Checks of leases with fencing: the specification holds, and each fault in it is caught. */
export const leaseChecks: Check[] = [
	...variants.map(variant => ({
		name: `leases, numbers ${variant.fencing}, ${variant.leases} leases, ${variant.faults} faults`,
		explore: () => explore(createLeaseSpecification(variant)),
	})),
	...leaseFaults.map(fault => ({
		name: `leases with fault ${fault}`,
		caughtBy: caughtBy[fault],
		explore: () => explore(createLeaseSpecification({
			fencing: getFencing(fault), fault, leases: 2, faults: 1,
		})),
	})),
];
