import type {
	Claim, ClaimDecision, ClaimKey, ClaimRequest, HostId, Incarnation, Milliseconds,
} from '@gentianlift/types';
import {addGivenUp, isGivenUp} from './given-up.js';
import {getKeyTime} from './key-time.js';
import type {ClaimLimits} from './limits.js';
import type {CompactClaim, SlotState} from './slot-state.js';
import {getIdentity} from './slot.js';

/** What a decision needs beside the slot. */
export type ClaimContext = {
	now: Milliseconds;
	/** Whether a run of a host is known to have ended. */
	isGone: (host: HostId, incarnation: Incarnation) => boolean;
	limits: ClaimLimits;
};

/** A claim to put into the slot. */
export type SlotChange = {identity: string; claim: Claim};

/** A decision, and the change that has to be stored before the decision may be told. */
export type ClaimStep = {decision: ClaimDecision; change?: SlotChange};

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

/** Gets the refusal of a key whose own time is out of bounds; undefined if it may be claimed. */
export const getTimeRefusal = (key: ClaimKey, now: Milliseconds, limits: ClaimLimits): ClaimDecision | undefined => {
	const time = getKeyTime(key.key);
	if (time === undefined) {
		return undefined;
	}

	if (time < now - limits.retention) {
		return {kind: 'expired'};
	}

	return time > now + limits.aheadLimit ? {kind: 'invalid', reason: 'the time in the key is ahead'} : undefined;
};

const createStart = (request: ClaimRequest, {now, limits}: ClaimContext, before?: Claim): ClaimStep => {
	const refusal = getTimeRefusal(request.key, now, limits);
	if (refusal !== undefined) {
		return {decision: refusal};
	}

	const claim: Claim = {...createClaim(request, now), ...(before !== undefined && {givenUp: addGivenUp(before, before.request)})};
	return {decision: {kind: 'start', claim}, change: {identity: getIdentity(request.key), claim}};
};

const givenUpDecision: ClaimDecision = {kind: 'unavailable', reason: 'the attempt was given up'};

const getOwnDecision = (claim: Claim): ClaimDecision => {
	switch (claim.outcome.kind) {
		case 'claimed': {
			return {kind: 'start', claim};
		}

		case 'finished': {
			return {kind: 'done', claim};
		}

		case 'not-run': {
			return givenUpDecision;
		}

		case 'unknown': {
			return {kind: 'unknown', claim};
		}
	}
};

const applyToOther = (claim: Claim, request: ClaimRequest, context: ClaimContext): ClaimStep => {
	switch (claim.outcome.kind) {
		case 'claimed': {
			return {decision: {kind: context.isGone(claim.host, claim.incarnation) ? 'unknown' : 'in-progress', claim}};
		}

		case 'finished': {
			return {decision: {kind: 'done', claim}};
		}

		case 'not-run': {
			return createStart(request, context, claim);
		}

		case 'unknown': {
			return {decision: {kind: 'unknown', claim}};
		}
	}
};

/** Gets the claim that a compact one stands for, without the details that were dropped. */
export const getExpandedClaim = (key: ClaimKey, compact: CompactClaim): Claim => ({
	...key,
	digest: compact.digest,
	request: '',
	host: '',
	incarnation: 0,
	claimedAt: 0,
	outcome: compact.kind === 'finished' ? {kind: 'finished', status: compact.status} : {kind: 'unknown', reason: 'details were dropped'},
});

const applyToCompact = (compact: CompactClaim, request: ClaimRequest): ClaimStep => {
	if (compact.digest !== request.digest) {
		return {decision: {kind: 'mismatch'}};
	}

	const claim = getExpandedClaim(request.key, compact);
	return {decision: {kind: compact.kind === 'finished' ? 'done' : 'unknown', claim}};
};

/** A claim that was released before it was stored has no digest, and binds the key to no body. */
const isSameWork = (claim: Claim, request: ClaimRequest): boolean => claim.digest === request.digest || claim.digest === '';

/** Decides on a claim from the state of its slot. */
export const applyClaim = (state: SlotState, request: ClaimRequest, context: ClaimContext): ClaimStep => {
	const identity = getIdentity(request.key);
	const claim = state.claims.get(identity);
	if (claim?.request === request.request) {
		return {decision: getOwnDecision(claim)};
	}

	if (claim !== undefined && isGivenUp(claim, request.request)) {
		return {decision: givenUpDecision};
	}

	if (claim !== undefined) {
		return isSameWork(claim, request) ? applyToOther(claim, request, context) : {decision: {kind: 'mismatch'}};
	}

	const compact = state.compact.get(identity);
	if (compact !== undefined) {
		return applyToCompact(compact, request);
	}

	const isFull = state.claims.size + state.compact.size >= context.limits.slotClaims;
	return isFull ? {decision: {kind: 'full'}} : createStart(request, context);
};
