import type {
	ClaimDecision, ClaimRequest, ClaimSettlement, SettlementOutcome,
} from '@gentianlift/types';
import {applyClaim, type ClaimContext, type SlotChange} from './apply-claim.js';
import {applySettlement} from './apply-settlement.js';
import {compactClaims} from './compact-claims.js';
import type {SlotState} from './slot-state.js';

/** An operation on a slot, applied with the slot's next write. */
export type Operation
	= | {kind: 'claim'; request: ClaimRequest}
		| {kind: 'settle'; settlement: ClaimSettlement};

/** Answer to an operation. */
export type OperationAnswer
	= | {kind: 'claim'; decision: ClaimDecision}
		| {kind: 'settle'; outcome: SettlementOutcome};

/** Result of applying operations to a slot: its new state, and their answers in order. */
export type Batch = {
	state: SlotState;
	answers: OperationAnswer[];
	/** Whether an operation changed the slot, so that it has to be written. */
	isChanged: boolean;
	/** Whether all answers hold even if they were derived from a stale state, since stored outcomes never change. */
	isFinal: boolean;
};

type Transition = {answer: OperationAnswer; change?: SlotChange};

const applyOperation = (state: SlotState, operation: Operation, context: ClaimContext): Transition => {
	switch (operation.kind) {
		case 'claim': {
			const {decision, ...rest} = applyClaim(state, operation.request, context);
			return {answer: {kind: 'claim', decision}, ...rest};
		}

		case 'settle': {
			const {outcome, ...rest} = applySettlement(state, operation.settlement, context);
			return {answer: {kind: 'settle', outcome}, ...rest};
		}
	}
};

const isFinalAnswer = (answer: OperationAnswer): boolean =>
	answer.kind === 'claim' ? answer.decision.kind === 'done' : answer.outcome.stored;

/** Applies operations to a slot in order, without modifying the initial state. */
export const applyBatch = (initial: SlotState, operations: readonly Operation[], context: ClaimContext): Batch => {
	const state: SlotState = {...initial, claims: new Map(initial.claims), compact: new Map(initial.compact)};
	const answers: OperationAnswer[] = [];
	let isChanged = false;
	for (const operation of operations) {
		const {answer, change} = applyOperation(state, operation, context);
		answers.push(answer);
		if (change !== undefined) {
			isChanged = true;
			state.claims.set(change.keyHash, change.claim);
		}
	}

	compactClaims(state, context.limits);
	return {
		state, answers, isChanged, isFinal: answers.every(answer => isFinalAnswer(answer)),
	};
};
