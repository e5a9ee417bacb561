import type {
	Claim, ClaimDecision, ClaimKey, ClaimRequest, HostId, Incarnation, Milliseconds,
} from '@gentianlift/types';
import {addWithdrawn, isWithdrawn} from './withdrawn-requests.js';
import {getKeyTimestamp} from './key-timestamp.js';
import type {ClaimLimits} from './limits.js';
import type {CompactClaim, SlotState} from './slot-state.js';
import {getKeyHash} from './slot.js';

/** Inputs of a decision other than the slot's state. */
export type ClaimContext = {
	now: Milliseconds;
	/** Whether the incarnation of the host is known to have ended. */
	isGone: (host: HostId, incarnation: Incarnation) => boolean;
	limits: ClaimLimits;
};

/** A claim to write into the slot, under the hash of its key. */
export type SlotChange = {keyHash: string; claim: Claim};

/** A decision, and the change that must be stored before the decision is returned to the requester. */
export type ClaimTransition = {decision: ClaimDecision; change?: SlotChange};

const createClaim = (request: ClaimRequest, now: Milliseconds): Claim => ({
	...request.key,
	digest: request.digest,
	...(request.className !== undefined && {className: request.className}),
	request: request.request,
	host: request.host,
	incarnation: request.incarnation,
	claimedAt: now,
	outcome: {kind: 'claimed'},
});

/** Returns the decision that refuses a key whose timestamp is too old or too far in the future; undefined if the key may be claimed. */
export const getTimestampRefusal = (key: ClaimKey, now: Milliseconds, limits: ClaimLimits): ClaimDecision | undefined => {
	const timestamp = getKeyTimestamp(key.key);
	if (timestamp === undefined) {
		return undefined;
	}

	if (timestamp < now - limits.retention) {
		return {kind: 'expired'};
	}

	return timestamp > now + limits.maxTimestampLead ? {kind: 'invalid', reason: 'the time in the key is ahead'} : undefined;
};

/** Starts a request. If `previous` is given, a claim of the key whose request did not run, the new claim replaces it and records that request as withdrawn. */
const createStartTransition = (request: ClaimRequest, {now, limits}: ClaimContext, previous?: Claim): ClaimTransition => {
	const refusal = getTimestampRefusal(request.key, now, limits);
	if (refusal !== undefined) {
		return {decision: refusal};
	}

	const claim: Claim = {...createClaim(request, now), ...(previous !== undefined && {givenUp: addWithdrawn(previous, previous.request)})};
	return {decision: {kind: 'start', claim}, change: {keyHash: getKeyHash(request.key), claim}};
};

const withdrawnDecision: ClaimDecision = {kind: 'unavailable', reason: 'the attempt was given up'};

/** Decides on a repeated claim by the request that holds the key. */
const getDecisionForSameRequest = (claim: Claim): ClaimDecision => {
	switch (claim.outcome.kind) {
		case 'claimed': {
			return {kind: 'start', claim};
		}

		case 'finished': {
			return {kind: 'done', claim};
		}

		case 'not-run': {
			return withdrawnDecision;
		}

		case 'unknown': {
			return {kind: 'unknown', claim};
		}
	}
};

/** Decides on a claim of a key that another request holds. */
const applyToOtherRequest = (claim: Claim, request: ClaimRequest, context: ClaimContext): ClaimTransition => {
	switch (claim.outcome.kind) {
		case 'claimed': {
			return {decision: {kind: context.isGone(claim.host, claim.incarnation) ? 'unknown' : 'in-progress', claim}};
		}

		case 'finished': {
			return {decision: {kind: 'done', claim}};
		}

		case 'not-run': {
			return createStartTransition(request, context, claim);
		}

		case 'unknown': {
			return {decision: {kind: 'unknown', claim}};
		}
	}
};

/** Returns a compact claim as a full one; the details that compaction dropped are empty or zero. */
export const expandCompactClaim = (key: ClaimKey, compact: CompactClaim): Claim => ({
	...key,
	digest: compact.digest,
	request: '',
	host: '',
	incarnation: 0,
	claimedAt: 0,
	outcome: compact.kind === 'finished' ? {kind: 'finished', status: compact.status} : {kind: 'unknown', reason: 'details were dropped'},
});

/** Decides on a claim of a key whose earlier claim was compacted. */
const applyToCompactClaim = (compact: CompactClaim, request: ClaimRequest): ClaimTransition => {
	if (compact.digest !== request.digest) {
		return {decision: {kind: 'mismatch'}};
	}

	const claim = expandCompactClaim(request.key, compact);
	return {decision: {kind: compact.kind === 'finished' ? 'done' : 'unknown', claim}};
};

/** Whether a request may use the key of a claim. The placeholder for a request that was withdrawn before its claim was stored has an empty digest, and matches every request. */
const hasMatchingDigest = (claim: Claim, request: ClaimRequest): boolean => claim.digest === request.digest || claim.digest === '';

/** Decides whether a request may start, given the state of its slot. */
export const applyClaim = (state: SlotState, request: ClaimRequest, context: ClaimContext): ClaimTransition => {
	const keyHash = getKeyHash(request.key);
	const claim = state.claims.get(keyHash);
	if (claim?.request === request.request) {
		return {decision: getDecisionForSameRequest(claim)};
	}

	if (claim !== undefined && isWithdrawn(claim, request.request)) {
		return {decision: withdrawnDecision};
	}

	if (claim !== undefined) {
		return hasMatchingDigest(claim, request) ? applyToOtherRequest(claim, request, context) : {decision: {kind: 'mismatch'}};
	}

	const compact = state.compact.get(keyHash);
	if (compact !== undefined) {
		return applyToCompactClaim(compact, request);
	}

	const isFull = state.claims.size + state.compact.size >= context.limits.maxClaimsPerSlot;
	return isFull ? {decision: {kind: 'full'}} : createStartTransition(request, context);
};
