import type {Check} from '../specification.js';

/** Checks of the claims. */
export const claimChecks: Check[] = [];
