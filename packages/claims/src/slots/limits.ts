import type {Milliseconds} from '@gentianlift/types';

/** Bounds of the claims; the same at every host, since they decide where a claim is found. */
export type ClaimLimits = {
	/** Slots of one bucket of timed keys. */
	timedSlots: number;
	/** Time that one bucket of timed keys spans. */
	bucketDuration: Milliseconds;
	/** Age up to which a timed key is accepted. */
	retention: Milliseconds;
	/** Time by which a timed key may be ahead of the host's clock. */
	aheadLimit: Milliseconds;
	/** Slots of keys without a time. */
	untimedSlots: number;
	/** Claims of one slot, after which new ones are refused. */
	slotClaims: number;
	/** Claims of an untimed slot that keep their details. */
	detailedClaims: number;
	/** Longest answer that is kept, in characters. */
	answerLength: number;
	/** Answers of one slot together, in characters. */
	slotAnswerLength: number;
	/** Least time between two writes of a slot by one host. */
	writeInterval: Milliseconds;
	/** Longest time that storing a claim may take. */
	claimTimeout: Milliseconds;
	/** Longest time that one try to store a settlement may take. */
	settleTimeout: Milliseconds;
};

const second = 1000;
const hour = 3600 * second;

/** Limits in use unless a test sets others. */
export const claimLimits: ClaimLimits = {
	timedSlots: 32,
	bucketDuration: 10 * second,
	retention: 24 * hour,
	aheadLimit: hour,
	untimedSlots: 256,
	slotClaims: 4000,
	detailedClaims: 200,
	answerLength: 4096,
	slotAnswerLength: 128 * 1024,
	writeInterval: 100,
	claimTimeout: 2 * second,
	settleTimeout: 2 * second,
};
