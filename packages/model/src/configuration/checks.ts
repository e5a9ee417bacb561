import {explore} from '../explore.js';
import type {Check} from '../specification.js';
import {createSpreadSpecification} from './specification.js';
import type {SpreadBounds, SpreadFault} from './state.js';

/** Two operators whose writes land late, twice or never, and no host. */
export const publishBounds: SpreadBounds = {
	operators: 2, hosts: 0, crashes: 0, outages: 1, acceptances: 0, writes: 3, arrivals: 2, hasConfirmations: false,
};

/** Two hosts that crash twice in all, while others publish. A read may always fail to happen, so outages add nothing here. */
export const hostBounds: SpreadBounds = {
	operators: 0, hosts: 2, crashes: 2, outages: 0, acceptances: 2, writes: 0, arrivals: 0, hasConfirmations: true,
};

/** Small bounds within which each fault of an operator's command shows. */
export const operatorFaultBounds: SpreadBounds = {...publishBounds, outages: 0, writes: 2};

/** Small bounds within which each fault of a host shows. */
export const hostFaultBounds: SpreadBounds = {
	operators: 0, hosts: 2, crashes: 1, outages: 0, acceptances: 1, writes: 0, arrivals: 0, hasConfirmations: true,
};

/** Two operators and two hosts together. */
export const wholeBounds: SpreadBounds = {
	operators: 2, hosts: 2, crashes: 1, outages: 0, acceptances: 0, writes: 1, arrivals: 1, hasConfirmations: false,
};

const faults: Array<[SpreadFault, SpreadBounds, string]> = [
	['trusts-read-back', operatorFaultBounds, 'what an operator is told was not accepted never is'],
	['trusts-rejection', operatorFaultBounds, 'what an operator is told was not accepted never is'],
	['ignores-revision', {...operatorFaultBounds, writes: 1, arrivals: 1}, 'accepted versions form one order'],
	['takes-any-version', hostFaultBounds, 'a host never goes back'],
	['confirms-at-receipt', hostFaultBounds, 'a confirmed version was the newest at that moment'],
	['starts-from-any-answer', hostFaultBounds, 'a host never starts below a version that it was told of'],
];

/** Checks of how a configuration is accepted and spreads. */
export const configurationChecks: Check[] = [
	{name: 'configuration: two operators', explore: () => explore(createSpreadSpecification(publishBounds))},
	{name: 'configuration: two hosts', explore: () => explore(createSpreadSpecification(hostBounds))},
	{name: 'configuration: two operators and two hosts', explore: () => explore(createSpreadSpecification(wholeBounds))},
	...faults.map(([fault, bounds, caughtBy]): Check => ({
		name: `configuration with fault ${fault}`, caughtBy, explore: () => explore(createSpreadSpecification(bounds, fault)),
	})),
];
