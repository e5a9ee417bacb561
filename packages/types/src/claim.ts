import type {
	ClassName, CustomerId, HostId, Incarnation, Milliseconds, RequestId, UpstreamId,
} from './ids.js';

/** Identity of a non-idempotent request: its customer and the caller's idempotency key. */
export type ClaimKey = {
	customer: CustomerId;
	key: string;
};

/** Outcome of a claimed request, as stored in the key-value service. */
export type ClaimOutcome
	= | {kind: 'claimed'}
		| {kind: 'finished'; status: number; contentType?: string; body?: string}
		| {kind: 'not-run'}
		| {kind: 'unknown'; reason: string};

/** A host's claim to execute a non-idempotent request at most once, as stored in the key-value service. */
export type Claim = ClaimKey & {
	/** Digest of the request's method, path and body. */
	digest: string;
	className?: ClassName;
	request: RequestId;
	host: HostId;
	incarnation: Incarnation;
	claimedAt: Milliseconds;
	settledAt?: Milliseconds;
	upstream?: UpstreamId;
	/** Ids of the latest earlier requests under this key that did not run and never will. */
	givenUp?: RequestId[];
	outcome: ClaimOutcome;
};

/** Decision on whether a host may start a non-idempotent request. */
export type ClaimDecision
	= | {kind: 'start'; claim: Claim}
		| {kind: 'in-progress'; claim: Claim}
		| {kind: 'done'; claim: Claim}
		| {kind: 'unknown'; claim: Claim}
		| {kind: 'mismatch'}
		| {kind: 'expired'}
		| {kind: 'full'}
		/** The time encoded in the key is too far in the future. */
		| {kind: 'invalid'; reason: string}
		/** The request must not start. If `undetermined`, the claim may nevertheless be stored and has to be released. */
		| {kind: 'unavailable'; reason: string; undetermined?: boolean};
