import {claimChecks} from './claims/checks.js';
import {configurationChecks} from './configuration/checks.js';
import {leaseChecks} from './leases/checks.js';
import type {Check} from './specification.js';

/** Checks of all specifications; a new specification adds its list here. */
export const checks: Check[] = [...claimChecks, ...configurationChecks, ...leaseChecks];
