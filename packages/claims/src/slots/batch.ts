import type {
	ClaimDecision, ClaimRequest, ClaimSettlement, SettlementOutcome,
} from '@gentianlift/types';
import {applyClaim, type ClaimContext, type SlotChange} from './apply-claim.js';
import {applySettlement} from './apply-settlement.js';
import {compactClaims} from './compact.js';
import type {SlotState} from './slot-state.js';

/** A change that waits for its slot's next write. */
export type Operation
	= | {kind: 'claim'; request: ClaimRequest}
		| {kind: 'settle'; settlement: ClaimSettlement};

/** The answer to an operation. */
export type Answer
	= | {kind: 'claim'; decision: ClaimDecision}
		| {kind: 'settle'; outcome: SettlementOutcome};

/** A slot's state after a batch of operations, and their answers in order. */
export type Batch = {
	state: SlotState;
	answers: Answer[];
	/** False if the batch leaves the slot as it was. */
	isChanged: boolean;
	/** Whether the answers hold even if the state that they rest on is an old one. */
	isFinal: boolean;
};

type Step = {answer: Answer; change?: SlotChange};

const applyOperation = (state: SlotState, operation: Operation, context: ClaimContext): Step => {
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

const isFinalAnswer = (answer: Answer): boolean =>
	answer.kind === 'claim' ? answer.decision.kind === 'done' : answer.outcome.stored;

/** Applies operations to a slot in order, without touching the state that was given. */
export const applyBatch = (before: SlotState, operations: readonly Operation[], context: ClaimContext): Batch => {
	const state: SlotState = {...before, claims: new Map(before.claims), compact: new Map(before.compact)};
	const answers: Answer[] = [];
	let isChanged = false;
	for (const operation of operations) {
		const {answer, change} = applyOperation(state, operation, context);
		answers.push(answer);
		if (change !== undefined) {
			isChanged = true;
			state.claims.set(change.identity, change.claim);
		}
	}

	compactClaims(state, context.limits);
	return {
		state, answers, isChanged, isFinal: answers.every(answer => isFinalAnswer(answer)),
	};
};
