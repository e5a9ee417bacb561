import type {Claim} from '@gentianlift/types';
import type {ClaimLimits} from './limits.js';
import type {CompactClaim, SlotState} from './slot-state.js';

const getCompactClaim = (claim: Claim): CompactClaim | undefined => {
	switch (claim.outcome.kind) {
		case 'finished': {
			return {kind: 'finished', digest: claim.digest, status: claim.outcome.status};
		}

		case 'unknown': {
			return {kind: 'unknown', digest: claim.digest, status: 0};
		}

		case 'claimed':
		case 'not-run': {
			return undefined;
		}
	}
};

/**
Replaces the oldest settled claims beyond the limit by compact ones, in place.

A compact claim keeps the digest and the outcome. A claim whose request didn't run is removed. Claims that aren't settled (`claimed`) stay as they are.
*/
export const compactClaims = (state: SlotState, limits: ClaimLimits): void => {
	for (const [keyHash, claim] of state.claims) {
		if (state.claims.size <= limits.maxDetailedClaims) {
			return;
		}

		const compact = getCompactClaim(claim);
		if (compact !== undefined) {
			state.compact.set(keyHash, compact);
		}

		if (claim.outcome.kind !== 'claimed') {
			state.claims.delete(keyHash);
		}
	}
};
