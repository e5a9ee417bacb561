import {claimChecks} from './claims/checks.js';
import {configurationChecks} from './configuration/checks.js';
import {leaseChecks} from './leases/checks.js';
import type {Check} from './specification.js';

/** All checks of all specifications. A specification adds its own list here. */
export const checks: Check[] = [...claimChecks, ...configurationChecks, ...leaseChecks];
