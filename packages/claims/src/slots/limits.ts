import type {Milliseconds} from '@gentianlift/types';

/** Limits of claims. All hosts must use the same ones, since the slot of a claim depends on them. */
export type ClaimLimits = {
	/** Number of slots in a bucket of timed keys, which are keys that contain a timestamp. */
	slotsPerBucket: number;
	/** Range of timestamps that share a bucket. */
	bucketDuration: Milliseconds;
	/** Maximum age of a timed key. */
	retention: Milliseconds;
	/** Maximum time by which the timestamp of a key may be ahead of the host's clock. */
	maxTimestampLead: Milliseconds;
	/** Number of slots of keys without a timestamp. */
	untimedSlots: number;
	/** Number of claims in a slot at which new ones are refused. */
	maxClaimsPerSlot: number;
	/** Number of claims in a slot that keep their details; the oldest settled ones beyond it are compacted. */
	maxDetailedClaims: number;
	/** Maximum length of a stored response body, in characters. */
	maxBodyLength: number;
	/** Maximum total length of the stored response bodies of a slot, in characters. */
	maxBodyLengthPerSlot: number;
	/** Minimum time between two writes of a slot by the same host. */
	writeInterval: Milliseconds;
	/** Maximum time for storing a claim. */
	claimTimeout: Milliseconds;
	/** Maximum time for trying once to store a settlement. */
	settleTimeout: Milliseconds;
};

const second = 1000;
const hour = 3600 * second;

/** Default limits. */
export const claimLimits: ClaimLimits = {
	slotsPerBucket: 32,
	bucketDuration: 10 * second,
	retention: 24 * hour,
	maxTimestampLead: hour,
	untimedSlots: 256,
	maxClaimsPerSlot: 4000,
	maxDetailedClaims: 200,
	maxBodyLength: 4096,
	maxBodyLengthPerSlot: 128 * 1024,
	writeInterval: 100,
	claimTimeout: 2 * second,
	settleTimeout: 2 * second,
};
