import type {Candidate, DepartureReason} from '@gentianlift/routing';
import type {PermitClaim} from '../statements/upstream-limits.js';
import type {RequestLoad} from './request-load.js';

/** The upstream chosen for a call, the load that the call adds to it, its claim on a permit if the upstream is limited, and why the call leaves its availability zone if it does. */
export type Assignment = {candidate: Candidate; load: RequestLoad; permit: PermitClaim; departure?: DepartureReason | undefined};
