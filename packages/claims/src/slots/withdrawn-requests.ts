import type {Claim, RequestId} from '@gentianlift/types';

/** Number of withdrawn requests that the claim of a key stores; beyond it the oldest are dropped. */
const maxWithdrawnRequestsPerClaim = 16;

/** Whether a request with the key was withdrawn, i.e. settled as `not-run`, so that it must never start, and its claim must not be stored if it arrives late. */
export const isWithdrawn = (claim: Claim, request: RequestId): boolean => claim.givenUp?.includes(request) ?? false;

/** Returns the withdrawn requests of a claim with another one added. */
export const addWithdrawn = (claim: Claim, request: RequestId): RequestId[] => {
	const earlier = claim.givenUp ?? [];
	return earlier.includes(request) ? earlier : [...earlier, request].slice(-maxWithdrawnRequestsPerClaim);
};
