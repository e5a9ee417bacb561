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

/** Drops the details of the oldest settled claims beyond the limit, in place. That it ran and how it ended stays; what never ran is forgotten. */
export const compactClaims = (state: SlotState, limits: ClaimLimits): void => {
	for (const [identity, claim] of state.claims) {
		if (state.claims.size <= limits.detailedClaims) {
			return;
		}

		const compact = getCompactClaim(claim);
		if (compact !== undefined) {
			state.compact.set(identity, compact);
		}

		if (claim.outcome.kind !== 'claimed') {
			state.claims.delete(identity);
		}
	}
};
