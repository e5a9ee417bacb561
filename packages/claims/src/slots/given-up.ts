import type {Claim, RequestId} from '@gentianlift/types';

/** Attempts of one key that are remembered as given up. */
const givenUpLimit = 16;

/** Whether an attempt of the key was given up, so that a claim of it that arrives late must not be stored. */
export const isGivenUp = (claim: Claim, request: RequestId): boolean => claim.givenUp?.includes(request) ?? false;

/** Gets the attempts given up under a key together with one more. */
export const addGivenUp = (claim: Claim, request: RequestId): RequestId[] => {
	const earlier = claim.givenUp ?? [];
	return earlier.includes(request) ? earlier : [...earlier, request].slice(-givenUpLimit);
};
