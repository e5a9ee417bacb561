import type {
	Claim, ClaimOutcome, ClaimSettlement, Milliseconds, SettlementOutcome,
} from '@gentianlift/types';
import {getTimeRefusal, type SlotChange} from './apply-claim.js';
import {addGivenUp, isGivenUp} from './given-up.js';
import type {ClaimLimits} from './limits.js';
import type {SlotState} from './slot-state.js';
import {getIdentity} from './slot.js';

/** A settlement's result, and the change that has to be stored before the result may be told. */
export type SettlementStep = {outcome: SettlementOutcome; change?: SlotChange};

/** What a settlement needs beside the slot. */
export type SettlementContext = {now: Milliseconds; limits: ClaimLimits};

const getAnswerLength = (claim: Claim): number => claim.outcome.kind === 'finished' ? claim.outcome.body?.length ?? 0 : 0;

const getRoom = (state: SlotState, limits: ClaimLimits): number => {
	let used = 0;
	for (const claim of state.claims.values()) {
		used += getAnswerLength(claim);
	}

	return Math.min(limits.answerLength, limits.slotAnswerLength - used);
};

/** Drops the body of an answer that is longer than `room`. */
const trimOutcome = (outcome: ClaimOutcome, room: number): ClaimOutcome => {
	if (outcome.kind !== 'finished' || outcome.body === undefined || outcome.body.length <= room) {
		return outcome;
	}

	const {body, ...rest} = outcome;
	return rest;
};

/** Stores that an attempt without a claim was given up, so that its claim can't start it when it arrives late. */
const applyRelease = (settlement: ClaimSettlement, {now, limits}: SettlementContext): SettlementStep => {
	const isTooOld = getTimeRefusal(settlement.key, now, limits) !== undefined;
	if (settlement.outcome.kind !== 'not-run' || isTooOld) {
		return {outcome: {stored: false}};
	}

	const claim: Claim = {
		...settlement.key, digest: '', request: settlement.request, host: '', incarnation: 0, claimedAt: now, settledAt: now, outcome: settlement.outcome,
	};
	return {outcome: {stored: true}, change: {identity: getIdentity(settlement.key), claim}};
};

/** Notes under the claim of another attempt that this one was given up, in case its own claim is still on its way. */
const applyReleaseBeside = (claim: Claim, settlement: ClaimSettlement, identity: string): SettlementStep => {
	if (settlement.outcome.kind !== 'not-run') {
		return {outcome: {stored: false}};
	}

	if (isGivenUp(claim, settlement.request)) {
		return {outcome: {stored: true}};
	}

	return {outcome: {stored: true}, change: {identity, claim: {...claim, givenUp: addGivenUp(claim, settlement.request)}}};
};

/** Settles a claim. Only the claim's own attempt can, and only once: an outcome that is stored stays. */
export const applySettlement = (state: SlotState, settlement: ClaimSettlement, context: SettlementContext): SettlementStep => {
	const identity = getIdentity(settlement.key);
	const claim = state.claims.get(identity);
	if (claim === undefined) {
		return state.compact.has(identity) ? {outcome: {stored: false}} : applyRelease(settlement, context);
	}

	if (claim.request !== settlement.request) {
		return applyReleaseBeside(claim, settlement, identity);
	}

	if (claim.outcome.kind !== 'claimed') {
		return {outcome: {stored: claim.outcome.kind === settlement.outcome.kind}};
	}

	const outcome = trimOutcome(settlement.outcome, getRoom(state, context.limits));
	const settled: Claim = {
		...claim, ...(settlement.upstream !== undefined && {upstream: settlement.upstream}), settledAt: context.now, outcome,
	};
	return {outcome: {stored: true}, change: {identity, claim: settled}};
};
