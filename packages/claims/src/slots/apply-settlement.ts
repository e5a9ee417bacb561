import type {
	Claim, ClaimOutcome, ClaimSettlement, Milliseconds, SettlementOutcome,
} from '@gentianlift/types';
import {getTimestampRefusal, type SlotChange} from './apply-claim.js';
import {addWithdrawn, isWithdrawn} from './withdrawn-requests.js';
import type {ClaimLimits} from './limits.js';
import type {SlotState} from './slot-state.js';
import {getKeyHash} from './slot.js';

/** Outcome of a settlement, and the change that must be stored before the outcome is returned. */
export type SettlementTransition = {outcome: SettlementOutcome; change?: SlotChange};

/** Inputs of a settlement other than the slot's state. */
export type SettlementContext = {now: Milliseconds; limits: ClaimLimits};

const getBodyLength = (claim: Claim): number => claim.outcome.kind === 'finished' ? claim.outcome.body?.length ?? 0 : 0;

/** Returns the length of the longest response body that the slot can still store. */
const getRemainingBodyLength = (state: SlotState, limits: ClaimLimits): number => {
	let used = 0;
	for (const claim of state.claims.values()) {
		used += getBodyLength(claim);
	}

	return Math.min(limits.maxBodyLength, limits.maxBodyLengthPerSlot - used);
};

/** Returns the outcome without its response body if the body is longer than `maxLength`. */
const dropOversizedBody = (outcome: ClaimOutcome, maxLength: number): ClaimOutcome => {
	if (outcome.kind !== 'finished' || outcome.body === undefined || outcome.body.length <= maxLength) {
		return outcome;
	}

	const {body, ...rest} = outcome;
	return rest;
};

/** Withdraws a request without a stored claim, so that a claim that arrives late can't start it. Stores a placeholder with an empty digest, as a settlement has none; it fits any request. */
const applyWithdrawalWithoutClaim = (settlement: ClaimSettlement, {now, limits}: SettlementContext): SettlementTransition => {
	const isTimestampRefused = getTimestampRefusal(settlement.key, now, limits) !== undefined;
	if (settlement.outcome.kind !== 'not-run' || isTimestampRefused) {
		return {outcome: {stored: false}};
	}

	const claim: Claim = {
		...settlement.key, digest: '', request: settlement.request, host: '', incarnation: 0, claimedAt: now, settledAt: now, outcome: settlement.outcome,
	};
	return {outcome: {stored: true}, change: {keyHash: getKeyHash(settlement.key), claim}};
};

/** Records in the claim of another request that this request was withdrawn, in case its own claim arrives later. */
const applyWithdrawalToOtherClaim = (claim: Claim, settlement: ClaimSettlement, keyHash: string): SettlementTransition => {
	if (settlement.outcome.kind !== 'not-run') {
		return {outcome: {stored: false}};
	}

	if (isWithdrawn(claim, settlement.request)) {
		return {outcome: {stored: true}};
	}

	return {outcome: {stored: true}, change: {keyHash, claim: {...claim, givenUp: addWithdrawn(claim, settlement.request)}}};
};

/** Settles a claim. Only the request that holds the claim can settle it, and only once: a stored outcome is final. */
export const applySettlement = (state: SlotState, settlement: ClaimSettlement, context: SettlementContext): SettlementTransition => {
	const keyHash = getKeyHash(settlement.key);
	const claim = state.claims.get(keyHash);
	if (claim === undefined) {
		return state.compact.has(keyHash) ? {outcome: {stored: false}} : applyWithdrawalWithoutClaim(settlement, context);
	}

	if (claim.request !== settlement.request) {
		return applyWithdrawalToOtherClaim(claim, settlement, keyHash);
	}

	if (claim.outcome.kind !== 'claimed') {
		return {outcome: {stored: claim.outcome.kind === settlement.outcome.kind}};
	}

	const outcome = dropOversizedBody(settlement.outcome, getRemainingBodyLength(state, context.limits));
	const settled: Claim = {
		...claim, ...(settlement.upstream !== undefined && {upstream: settlement.upstream}), settledAt: context.now, outcome,
	};
	return {outcome: {stored: true}, change: {keyHash, claim: settled}};
};
