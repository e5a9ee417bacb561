import type {Claim, RequestId} from '@gentianlift/types';

/** Number of given-up attempts that a claim stores; beyond it the oldest are dropped. */
const maxGivenUpAttempts = 16;

/** Whether an attempt with the key was given up, so that its claim must not be stored if it arrives late. */
export const isGivenUp = (claim: Claim, request: RequestId): boolean => claim.givenUp?.includes(request) ?? false;

/** Returns the given-up attempts of a claim with another one added. */
export const addGivenUp = (claim: Claim, request: RequestId): RequestId[] => {
	const earlier = claim.givenUp ?? [];
	return earlier.includes(request) ? earlier : [...earlier, request].slice(-maxGivenUpAttempts);
};
