import {explore} from '../explore.js';
import type {Check} from '../specification.js';
import {createDistributionSpecification} from './specification.js';
import type {DistributionBounds, DistributionFault} from './state.js';

/** Two operators whose writes reach the service late, twice or never, and no host. */
export const operatorBounds: DistributionBounds = {
	operatorCount: 2, hostCount: 0, maxCrashes: 0, maxOutages: 1, maxAcceptances: 0, maxWrites: 3, maxArrivals: 2, hasConfirmations: false,
};

/** Two hosts that crash twice in all, while versions of other operators are accepted. Without outages, since a read that never happens has the same effect. */
export const hostBounds: DistributionBounds = {
	operatorCount: 0, hostCount: 2, maxCrashes: 2, maxOutages: 0, maxAcceptances: 2, maxWrites: 0, maxArrivals: 0, hasConfirmations: true,
};

/** Small bounds in which each fault of an operator's command is caught. */
export const operatorFaultBounds: DistributionBounds = {...operatorBounds, maxOutages: 0, maxWrites: 2};

/** Small bounds in which each fault of a host is caught. */
export const hostFaultBounds: DistributionBounds = {
	operatorCount: 0, hostCount: 2, maxCrashes: 1, maxOutages: 0, maxAcceptances: 1, maxWrites: 0, maxArrivals: 0, hasConfirmations: true,
};

/** Two operators and two hosts in one system. */
export const combinedBounds: DistributionBounds = {
	operatorCount: 2, hostCount: 2, maxCrashes: 1, maxOutages: 0, maxAcceptances: 0, maxWrites: 1, maxArrivals: 1, hasConfirmations: false,
};

const faults: Array<[DistributionFault, DistributionBounds, string]> = [
	['trusts-read-back', operatorFaultBounds, 'what an operator is told was not accepted never is'],
	['trusts-rejection', operatorFaultBounds, 'what an operator is told was not accepted never is'],
	['ignores-revision', {...operatorFaultBounds, maxWrites: 1, maxArrivals: 1}, 'accepted versions form one order'],
	['takes-any-version', hostFaultBounds, 'a host never goes back'],
	['confirms-at-receipt', hostFaultBounds, 'a confirmed version was the newest at that moment'],
	['starts-from-any-answer', hostFaultBounds, 'a host never starts below a version that it was told of'],
];

/** Checks of how configuration versions are accepted and distributed. */
export const configurationChecks: Check[] = [
	{name: 'configuration: two operators', explore: () => explore(createDistributionSpecification(operatorBounds))},
	{name: 'configuration: two hosts', explore: () => explore(createDistributionSpecification(hostBounds))},
	{name: 'configuration: two operators and two hosts', explore: () => explore(createDistributionSpecification(combinedBounds))},
	...faults.map(([fault, bounds, caughtBy]): Check => ({
		name: `configuration with fault ${fault}`, caughtBy, explore: () => explore(createDistributionSpecification(bounds, fault)),
	})),
];
