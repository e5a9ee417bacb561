import type {
	ClassName, CustomerId, HostId, Incarnation, Milliseconds, RequestId, UpstreamId,
} from './ids.js';

/** Identity of a non-idempotent request: its customer and the caller's key. */
export type ClaimKey = {
	customer: CustomerId;
	key: string;
};

/** Outcome of a claimed request as kept in the key-value service. */
export type ClaimOutcome
	= | {kind: 'claimed'}
		| {kind: 'finished'; status: number; contentType?: string; body?: string}
		| {kind: 'not-run'}
		| {kind: 'unknown'; reason: string};

/** A claim as kept in the key-value service. */
export type Claim = ClaimKey & {
	/** Digest of method, path and body. */
	digest: string;
	className?: ClassName;
	request: RequestId;
	host: HostId;
	incarnation: Incarnation;
	claimedAt: Milliseconds;
	settledAt?: Milliseconds;
	upstream?: UpstreamId;
	/** Earlier attempts under the key that did not run, and never will; the latest few. */
	givenUp?: RequestId[];
	outcome: ClaimOutcome;
};

/** Answer to a host that wants to start a non-idempotent request. */
export type ClaimDecision
	= | {kind: 'start'; claim: Claim}
		| {kind: 'in-progress'; claim: Claim}
		| {kind: 'done'; claim: Claim}
		| {kind: 'unknown'; claim: Claim}
		| {kind: 'mismatch'}
		| {kind: 'expired'}
		| {kind: 'full'}
		/** The key's own time is too far ahead. */
		| {kind: 'invalid'; reason: string}
		/** Not started. `undetermined` if the claim may be stored even so, and has to be released. */
		| {kind: 'unavailable'; reason: string; undetermined?: boolean};
